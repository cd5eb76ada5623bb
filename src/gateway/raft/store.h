// The raft on disk: LMDB under a folder, every record with version, length and checksum (xxHash). A record
// that does not hold is told and never taken.
#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "gateway/raft/replica.h"

namespace marldale::raft {

class Store {
public:
    // `firstRun`: where the folder holds nothing, this machine is one of the seeds' (number 0) if `seed`,
    // else a stranger with a number drawn at random. What is drawn is durable before this returns.
    static absl::StatusOr<std::unique_ptr<Store>> open(const std::string& folder, const std::string& address,
                                                       bool firstRun, bool seed,
                                                       std::size_t mapBytes = std::size_t{160} << 20U);
    ~Store();
    [[nodiscard]] absl::StatusOr<PersistentState> load() const;
    // Durable when it returns well (data and the root of the tree synced). May be tried again after an error
    // (a full disk).
    [[nodiscard]] absl::Status write(const Write& write);

private:
    struct State;
    explicit Store(std::unique_ptr<State> state);
    std::unique_ptr<State> state_;
};

}  // namespace marldale::raft
