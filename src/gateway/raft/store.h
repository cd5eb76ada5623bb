// Persistent storage of a replica: an LMDB file in a folder. Every record has a version, a length and a
// checksum (xxHash); an invalid record is reported as an error and never used.
#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "gateway/raft/replica.h"

namespace marldale::raft {

// The persistent state of one replica on disk.
class Store {
public:
    // Opens the store in `folder`, or creates it. A new store belongs to a seed (member number 0) if both
    // `firstRun` and `seed` are set, otherwise to a new member with a random number. The number is durable
    // before this returns.
    static absl::StatusOr<std::unique_ptr<Store>> open(const std::string& folder, const std::string& address,
                                                       bool firstRun, bool seed,
                                                       std::size_t mapBytes = std::size_t{160} << 20U);
    ~Store();
    [[nodiscard]] absl::StatusOr<PersistentState> load() const;
    // The write is durable if this returns OK: the data and the root page are synced. It may be retried after
    // an error such as a full disk.
    [[nodiscard]] absl::Status write(const Write& write);

private:
    struct State;
    explicit Store(std::unique_ptr<State> state);
    std::unique_ptr<State> state_;
};

}  // namespace marldale::raft
