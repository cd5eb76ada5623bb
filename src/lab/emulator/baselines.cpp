#include "emulator/baselines.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>

namespace marldale::emulator {
namespace {

constexpr Micros kTick = 500000;
constexpr Micros kMarkTimeout = 3000000;
constexpr double kUnlimited = 1e6;

class Baseline {
public:
    Baseline(PolicyKind kind, Settings settings) : kind_(kind), settings_(std::move(settings)) {}

    std::vector<Action> turn(Micros now, const std::vector<marldale::Event>& events) {
        now_ = now;
        out_.clear();
        for (const marldale::Event& event : events) {
            std::visit([this](const auto& e) { on(e); }, event);
        }
        if (now >= nextTick_) {
            nextTick_ = now + kTick;
            out_.emplace_back(ArmTimer{kTick, 0});
        }
        const std::size_t before = out_.size();
        withdraw();
        for (ZoneId z = 0; z < settings_.zones; ++z) push(z);
        if (out_.size() > before) {
            out_.emplace_back(Mark{static_cast<std::uint16_t>(turn_ & 0xffffU), false});
            for (const auto& [proxy, zone] : proxies_) waiting_.insert(proxy);
            markedAt_ = now;
        }
        ++turn_;
        return out_;
    }

private:
    struct Known {
        ListEntry entry;
        bool out = false;
        double busy = 0;  // its last load report's first value
    };
    void on(const ServerListUpdate& news) {
        std::set<ServerId> named;
        for (const ListEntry& entry : news.entries) {
            named.insert(entry.server);
            servers_[entry.server].entry = entry;
        }
        if (news.kind == ServerListUpdateKind::delta || news.kind == ServerListUpdateKind::failed) return;
        for (auto& [id, s] : servers_) {
            if (named.count(id) == 0) s.entry.state = ServerState::gone;
        }
    }
    void on(const ProxyJoined& j) {
        proxies_[j.proxy] = j.zone;
        fresh_.insert(j.proxy);
    }
    void on(const ProxyLeft& l) {
        proxies_.erase(l.proxy);
        fresh_.erase(l.proxy);
        waiting_.erase(l.proxy);
    }
    void on(const ServerStats& sums) {
        const auto at = servers_.find(sums.server);
        if (at != servers_.end() && !sums.load.empty()) at->second.busy = static_cast<double>(sums.load[0]);
    }
    void on(const Acknowledged& a) { waiting_.erase(a.proxy); }
    void on(const auto& /*other*/) {}

    void withdraw() {
        for (auto& [id, s] : servers_) {
            const bool out = s.entry.state != ServerState::ready;
            if (out == s.out) continue;
            s.out = out;
            out_.emplace_back(Withdraw{id, out});
        }
    }
    [[nodiscard]] std::map<ServerId, float> wanted(ZoneId zone) const {
        std::map<ServerId, float> out;
        for (const bool all : {kind_ != PolicyKind::zones, true}) {
            for (const auto& [id, s] : servers_) {
                if (s.entry.state != ServerState::ready || (!all && s.entry.zone != zone)) continue;
                const double weight = s.entry.weight > 0 ? s.entry.weight : 1;
                const bool sees = kind_ == PolicyKind::leastLoad || kind_ == PolicyKind::fullSight;
                // Steps of a quarter octave, as the module has them: no order for every flicker.
                const double share = sees ? std::exp2(std::round(4 * std::log2(1 / (1 + s.busy))) / 4) : 1;
                out[id] = static_cast<float>(weight * share);
            }
            if (!out.empty()) break;
        }
        return out;
    }
    void push(ZoneId zone) {
        auto& held = tables_[zone];
        const auto table = static_cast<TableId>(zone + 1);
        const bool waits = !waiting_.empty() && now_ - markedAt_ < kMarkTimeout;
        const auto want = wanted(zone);
        bool changed = false;
        for (const auto& [id, weight] : want) {
            const auto at = held.find(id);
            if (at != held.end() && (at->second == weight || waits)) continue;
            out_.emplace_back(SetLine{table, id, weight});
            held[id] = weight;
            changed = true;
        }
        for (auto at = held.begin(); at != held.end();) {
            if (want.count(at->first) != 0) {
                ++at;
                continue;
            }
            out_.emplace_back(SetLine{table, at->first, 0});
            at = held.erase(at);
            changed = true;
        }
        if (changed && levelled_.insert(zone).second) {
            out_.emplace_back(SetLevel{table, static_cast<float>(kUnlimited), 0,
                                       static_cast<std::uint8_t>(settings_.defaultRetry)});
        }
        if (held.empty()) return;
        for (const auto& [proxy, where] : proxies_) {
            if (where == zone && fresh_.erase(proxy) > 0) out_.emplace_back(Bind{proxy, table, 0});
        }
    }

    const PolicyKind kind_;
    const Settings settings_;
    Micros now_ = 0, nextTick_ = 0, markedAt_ = 0;
    std::uint64_t turn_ = 0;
    std::map<ServerId, Known> servers_;
    std::map<ProxyId, ZoneId> proxies_;
    std::set<ProxyId> fresh_, waiting_;
    std::set<ZoneId> levelled_;
    std::map<ZoneId, std::map<ServerId, float>> tables_;
    std::vector<Action> out_;
};

}  // namespace

routing::PlannerCore::MakeModule baseline(PolicyKind kind, const Settings& settings) {
    return [kind, settings] {
        const auto policy = std::make_shared<Baseline>(kind, settings);
        return [policy](Micros now, const std::vector<marldale::Event>& events) {
            return policy->turn(now, events);
        };
    };
}

}  // namespace marldale::emulator
