// Frames and records of the drill's wire, bounds-checked. It decides nothing.
#pragma once

#include <array>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "policy/types.h"

namespace marldale::wire {

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderBytes = 20;  // number, length, records, clock
inline constexpr std::size_t kRosters = 16;
inline constexpr std::size_t kFrameMost = std::size_t{1} << 30U;

struct BatchHead {
    std::uint32_t number = 0;
    std::size_t bodyBytes = 0;  // what still follows the header: records and tail
    std::uint32_t records = 0;
    Micros clock = 0;
};

using Instance = std::uint32_t;
using Roster = std::vector<ListEntry>;
using Rosters = std::array<std::optional<Roster>, kRosters>;  // kept for the process, shared by instances

struct Create {
    std::uint64_t entropy = 0;
    std::string_view config;  // points into the frame
};
struct Down {};
struct InstanceEvent {
    Instance instance = 0;
    std::variant<Create, Down, Event> what;
};

struct Crash {
    std::string what;
};

[[nodiscard]] BatchHead readBatchHead(std::string_view bytes);

// Reads the records of one frame in order. Rosters are put down as they come; unknown codes are skipped.
[[nodiscard]] std::vector<InstanceEvent> readBatch(const BatchHead& head, std::string_view body,
                                                   Rosters& rosters);

// Collects the actions of one reply.
class Reply {
public:
    void add(Instance instance, const Action& action);
    void add(Instance instance, const Crash& crash);
    [[nodiscard]] std::string frame(std::uint32_t number) const;

private:
    std::string& startRecord(std::uint16_t code, Instance instance);
    void endRecord();
    void text(std::string_view what);

    std::string records_;
    std::string tail_;
    std::uint32_t count_ = 0;
};

}  // namespace marldale::wire
