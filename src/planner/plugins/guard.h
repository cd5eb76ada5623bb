// What becomes of hooks' wishes: a total function from all wishes and the fleet to what holds, clipped so
// that none of the five rules breaks that would have held without. Among hooks the most careful wins,
// whatever their order. No I/O.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plugins/wishes.h"

namespace marldale::plugins {

struct GuardSettings {
    double levelLeast = 0.05;    // no class is let in less than this by a hook
    double factorLeast = 0.1;    // of a box's weight
    double capacityMost = 0.25;  // share of a zone's ready weight that hooks may take away
    std::size_t boxesLeast = 2;  // warm boxes in use that stay in a zone
    double rowsMost = 0.2;       // share of tries of a box, and of a zone, that may be left out
    Micros rowsOver = 10 * 1000000LL;
    bool operator==(const GuardSettings&) const = default;
};

struct BoxView {
    std::string uid, zone;
    ServerState state = ServerState::ready;
    double weight = 1;
    bool warm = true;
};
struct ClassView {
    std::string name;
    bool fragile = false;  // it must not run twice
};
struct FleetView {
    std::vector<BoxView> boxes;
    std::vector<std::string> zones;
    std::vector<ClassView> classes;
};

// As a hook's on_tick is told it: {time, zones: [name], classes: [{class, fragile}], boxes: [{server, zone,
// state, weight, warm}]}; time in seconds since 1970.
[[nodiscard]] Json viewOf(const FleetView& fleet, std::int64_t wallNowUs);

// What holds. Zones and classes that are whole, and boxes that are as listed, are absent.
struct Standing {
    std::map<std::pair<std::string, std::string>, double> levels;  // by zone and class: below 1
    struct Box {
        double factor = 1;
        bool hold = false;
        bool operator==(const Box&) const = default;
    };
    std::map<std::string, Box> boxes;
    bool operator==(const Standing&) const = default;
    [[nodiscard]] bool empty() const { return levels.empty() && boxes.empty(); }
};

// Boxes, zone by zone:
//  - only boxes that the list calls ready are touched, so a drain stays one and nothing gone comes back;
//  - where a box is cold or leaves, no warm one is made less of: its load would go to the cold one;
//  - `boxesLeast` warm boxes stay in use, and no more than `capacityMost` of the zone's weight is taken away;
//    what is over that is dropped, boxes in the order of their names.
// Levels: the lowest of all hooks, and `levelLeast` at least.
[[nodiscard]] Standing guard(const std::map<std::string, Wishes>& byHook, const FleetView& fleet,
                             const GuardSettings& settings, std::vector<Clip>& clips);

// ---- Rows of reports ----

struct Row {
    std::string box, zone;  // of sums; empty for demand
    std::string klass;      // of demand
    std::uint32_t tries = 0, failed = 0;
    std::int32_t relay = -1;  // of demand
    double meanMs = 0, overMs = 0;
};
struct RowVerdict {
    bool leaveOut = false;
    std::string klass;  // empty: as it is
    bool operator==(const RowVerdict&) const = default;
};

// Rows that tell of a failure are always believed; of the others so many of a box and of a zone may be left
// out that the module still sees the rest. Requests are counted under another class only where neither is
// fragile. Two hooks that want different things leave the row as it is: to believe it is the careful thing.
class RowGuard {
public:
    explicit RowGuard(GuardSettings settings) : settings_(settings) {}
    void set(const GuardSettings& settings) { settings_ = settings; }
    [[nodiscard]] std::vector<RowVerdict> decide(const std::vector<Row>& rows,
                                                 const std::map<std::string, std::vector<RowWish>>& byHook,
                                                 const std::vector<ClassView>& classes, Micros now,
                                                 std::vector<Clip>& clips);

private:
    struct Span {
        Micros from = 0;
        double seen = 0, leftOut = 0;
    };
    Span& span(const std::string& key, Micros now);
    GuardSettings settings_;
    std::map<std::string, Span> spans_;  // tries by box (`b` before it) and by zone (`z`)
};

}  // namespace marldale::plugins
