#include "replay/rehearsal.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "bytes/mix.h"

namespace marldale::replay {
namespace {

using bytes::mixed;

using Json = nlohmann::json;

double millis(Micros span) { return static_cast<double>(span) / 1000; }

bool failed(const attempts::Answer& answer) {
    return answer.ended != attempts::Ended::answered || answer.status >= 500;
}

}  // namespace

Rehearsal::Rehearsal(RehearsalSettings settings) : settings_(std::move(settings)) {
    if (settings_.zones.empty() || settings_.boxes.empty() || settings_.relays == 0 || settings_.every <= 0) {
        throw std::runtime_error("a rehearsal needs zones, boxes, relays and an interval");
    }
}

std::uint32_t Rehearsal::relayOf(const trace::Entry& entry) const {
    return static_cast<std::uint32_t>(mixed(entry.client != 0 ? entry.client : entry.chain) %
                                      settings_.relays);
}

const std::string& Rehearsal::zoneOf(std::uint32_t relay) const {
    return settings_.zones[relay % settings_.zones.size()];
}

// Each try for itself: a relay picks anew.
const std::string& Rehearsal::boxOf(const trace::Entry& entry) const {
    return settings_
        .boxes[mixed(entry.chain * 31 + entry.number + mixed(entry.target)) % settings_.boxes.size()]
        .first;
}

std::vector<Rehearsal::Message> Rehearsal::add(const trace::Entry& entry) {
    std::vector<Message> out;
    if (!begun_) since_ = entry.at;
    begun_ = true;
    while (entry.at - since_ >= settings_.every) {
        auto told = report(settings_.every);
        out.insert(out.end(), std::make_move_iterator(told.begin()), std::make_move_iterator(told.end()));
        since_ += settings_.every;
        // A quiet time is passed over: nobody tells that nothing came.
        if (outcomes_.empty() && demand_.empty()) {
            since_ += (entry.at - since_) / settings_.every * settings_.every;
        }
    }
    last_ = entry.at;
    const std::uint32_t relay = relayOf(entry);
    const bool bad = failed(entry.answer);
    Sum& demand = demand_[{relay, entry.classIndex}];
    if (entry.number == 0) ++demand.count;
    Sum& outcome = outcomes_[{zoneOf(relay), boxOf(entry)}];
    ++outcome.count;
    if (bad) {
        ++outcome.failed;
        ++demand.failed;
    } else {
        outcome.time += std::max<Micros>(entry.took, 0);
    }
    return out;
}

std::vector<Rehearsal::Message> Rehearsal::report(Micros over) {
    std::vector<Message> out;
    for (const auto& [key, sum] : outcomes_) {
        Json row{{"type", "outcomes"}, {"site", key.first},  {"target", key.second},
                 {"count", sum.count}, {"fail", sum.failed}, {"over", millis(over)}};
        const auto good = static_cast<Micros>(sum.count - sum.failed);
        row["mean"] = good > 0 ? millis(sum.time / good) : 0.0;
        out.push_back({key.first, row.dump()});
    }
    for (const auto& [key, sum] : demand_) {
        if (sum.count == 0) continue;
        const std::uint64_t lost = std::min(sum.failed, sum.count);
        const Json row{{"type", "demand"},   {"id", key.first}, {"lane", settings_.classes[key.second]},
                       {"count", sum.count}, {"fail", lost},    {"over", millis(over)}};
        out.push_back({zoneOf(key.first), row.dump()});
    }
    outcomes_.clear();
    demand_.clear();
    return out;
}

std::vector<Rehearsal::Message> Rehearsal::finish() {
    return begun_ ? report(std::max<Micros>(last_ - since_, 1000)) : std::vector<Message>{};
}

}  // namespace marldale::replay
