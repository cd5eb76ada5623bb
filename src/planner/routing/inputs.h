// All that may come to the module's thread.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "dispatch/lane.h"
#include "membership/source_arbiter.h"
#include "protocol/catalog.h"
#include "protocol/relay.h"
#include "protocol/reports.h"

namespace marldale::routing {

using dispatch::LaneId;
using membership::SourceId;

struct ListInput {
    protocol::CatalogNews news;
    bool cached = false;
};
struct ProbeEnded {
    ServerId server = 0;
    ProbeOutcome outcome = ProbeOutcome::other;
    Micros roundTrip = 0;
    protocol::LoadValues load;
};

// ---- From fronts other than the platform's ----

struct BoxLoads {  // a box's word on itself
    std::string server;
    protocol::LoadValues load;
};
struct SourceRows {  // a part of one source's report
    SourceId source = 0;
    std::vector<protocol::Report> rows;
    std::vector<BoxLoads> loads;
    std::uint32_t spoilt = 0;  // rows that the front could not use
};
struct SourceEnded {  // in order; one that breaks is only silent
    SourceId source = 0;
};
struct LaneOpened {
    LaneId lane = 0;
    dispatch::Returning returning;
};
struct LaneNews {
    LaneId lane = 0;
    protocol::News news;
};
struct LaneTook {  // the answer to a batch
    LaneId lane = 0;
    std::uint64_t nonce = 0;
    std::size_t orders = 0;
    std::string refusedBecause;
};
struct LaneClosed {
    LaneId lane = 0;
};

// ---- From hooks ----

struct CeilingInput {  // by name; see policy's Ceiling
    std::string zone, klass;
    double share = 1;
};

using Input = std::variant<ListInput, protocol::News, protocol::Report, ProbeEnded, SourceRows, SourceEnded,
                           LaneOpened, LaneNews, LaneTook, LaneClosed, CeilingInput>;

// Reports may be lost where there is no room, for the next ones come in any case.
[[nodiscard]] inline bool isReport(const Input& input) {
    return std::holds_alternative<protocol::Report>(input) || std::holds_alternative<ProbeEnded>(input) ||
           std::holds_alternative<SourceRows>(input);
}
// How much of the queue's room it takes.
[[nodiscard]] inline std::size_t weightOf(const Input& input) {
    const auto* rows = std::get_if<SourceRows>(&input);
    return rows == nullptr ? 1 : std::max<std::size_t>(1, rows->rows.size() + rows->loads.size());
}

}  // namespace marldale::routing
