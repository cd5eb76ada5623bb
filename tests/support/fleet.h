// A small fleet to drive the module by hand: events in, actions out, and a picture of what proxies hold.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>

#include "policy/policy.h"
#include "policy/state.h"

namespace marldale::test {

inline Settings calmSettings() {
    Settings s;
    s.zones = 2;
    s.proxies = 6;
    s.seed = 7;
    s.pushRate = 5000;
    s.backlogLines = 5000;
    s.envelopeLines = 4;
    s.reportEvery = kSecond;
    s.emptyFor = 5 * kSecond;
    s.drainGrace = 2 * kSecond;
    s.coldShare = 0.3;
    s.tipMultiple = 3;
    s.fallWithin = 2 * kSecond;
    s.warmUp = 16 * kSecond;
    ClassSettings plain;
    plain.latencyTarget = 600 * kMs;
    plain.giveUp = 2 * kSecond;
    plain.repeat = Repeat::retryable;
    ClassSettings dear = plain;
    dear.worth = 3;
    dear.repeat = Repeat::fragile;
    s.classes = {plain, dear};
    return s;
}

inline ListEntry server(ServerId id, ZoneId zone, ServerState state = ServerState::ready, Micros boot = 0) {
    ListEntry e;
    e.server = id;
    e.zone = zone;
    e.weight = 1;
    e.state = state;
    e.bootTime = boot;
    return e;
}

// Plays a planner and keeps the picture that its orders paint.
class Rig {
public:
    explicit Rig(Settings settings) : planner_(std::move(settings)) {}

    Micros now = 100 * kSecond;
    bool answers = true;  // proxies answer marks at once, unless silenced
    std::set<ProxyId> silent;
    std::map<TableId, std::map<ServerId, float>> tables;
    std::map<TableId, std::map<ClassMask, SetLevel>> levels;
    std::map<ProxyId, std::map<ClassMask, TableId>> bound;
    std::map<ServerId, bool> withdrawn;
    std::vector<Action> last;  // of the latest turn
    std::map<ProxyId, int> messages;

    // One turn; the answers it earns come as events of later turns.
    std::vector<Action> turn(std::vector<Event> events = {}) {
        for (auto& a : due_) events.push_back(a);
        due_.clear();
        last = planner_.turn(now, events);
        paint();
        return last;
    }
    void run(Micros span, Micros step = 100 * kMs) {
        for (const Micros end = now + span; now < end;) {
            now += step;
            turn();
        }
    }
    void list(std::vector<ListEntry> entries, ServerListUpdateKind kind = ServerListUpdateKind::full) {
        turn({ServerListUpdate{++version_, kind, std::move(entries)}});
    }
    void join(ProxyId id, ZoneId zone) {
        bound.erase(id);
        marks_.erase(id);
        turn({ProxyJoined{id, zone, 10, true}});
    }
    void leave(ProxyId id) {
        bound.erase(id);
        turn({ProxyLeft{id}});
    }
    // Sums as they come from proxies of every zone, `tries` at each of these servers.
    void sums(const std::set<ServerId>& at, std::uint32_t tries, std::uint32_t failed, Micros mean) {
        std::vector<Event> events;
        for (const ServerId id : at) {
            for (ZoneId z = 0; z < 2; ++z)
                events.push_back(ServerStats{id, z, tries, failed, kSecond, mean, {}});
        }
        turn(events);
    }
    [[nodiscard]] TableId tableOf(ProxyId id) const { return bound.at(id).begin()->second; }
    [[nodiscard]] float weight(ProxyId id, ServerId s) const {
        const auto t = tables.find(tableOf(id));
        if (t == tables.end()) return 0;
        const auto line = t->second.find(s);
        return line == t->second.end() ? 0 : line->second;
    }
    template <class T>
    [[nodiscard]] int count() const {
        int n = 0;
        for (const Action& a : last) n += std::holds_alternative<T>(a);
        return n;
    }
    // An answer of a silenced proxy, at last.
    void answerNow(ProxyId id) {
        silent.erase(id);
        if (marks_.count(id)) turn({Acknowledged{id, marks_.at(id), 4 * kSecond}});
    }

private:
    void paint() {
        std::set<ProxyId> reached;
        for (const Action& a : last) {
            if (const auto* line = std::get_if<SetLine>(&a)) {
                auto& t = tables[line->table];
                if (line->weight > 0)
                    t[line->server] = line->weight;
                else
                    t.erase(line->server);
                for (const ProxyId p : users(line->table)) reached.insert(p);
            } else if (const auto* drop = std::get_if<DropLines>(&a)) {
                tables.erase(drop->table);
                EXPECT_TRUE(users(drop->table).empty()) << "a table in use was dropped";
            } else if (const auto* b = std::get_if<Bind>(&a)) {
                EXPECT_FALSE(tables[b->table].empty()) << "lines must precede any bind";
                bound[b->proxy][b->classes] = b->table;
                reached.insert(b->proxy);
            } else if (const auto* w = std::get_if<Withdraw>(&a)) {
                withdrawn[w->server] = w->out;
                for (const auto& [p, t] : bound) reached.insert(p);
            } else if (const auto* l = std::get_if<SetLevel>(&a)) {
                levels[l->table][l->classes] = *l;
                for (const ProxyId p : users(l->table)) reached.insert(p);
            }
        }
        for (const Action& a : last) {
            const auto* mark = std::get_if<Mark>(&a);
            if (mark == nullptr) continue;
            for (const ProxyId p : reached) {
                marks_[p] = mark->mark;
                if (answers && !silent.count(p)) due_.push_back(Acknowledged{p, mark->mark, 300 * kMs});
            }
        }
        for (const ProxyId p : reached) ++messages[p];
    }
    [[nodiscard]] std::set<ProxyId> users(TableId table) const {
        std::set<ProxyId> out;
        for (const auto& [p, binds] : bound) {
            for (const auto& [classes, t] : binds) {
                if (t == table) out.insert(p);
            }
        }
        return out;
    }

    Planner planner_;
    std::uint64_t version_ = 0;
    std::vector<Event> due_;
    std::map<ProxyId, std::uint64_t> marks_;
};

// Four servers in two zones, two proxies in each, bound and settled.
inline Rig settledRig(Settings settings = calmSettings()) {
    Rig rig(std::move(settings));
    rig.list({server(1, 0), server(2, 0), server(3, 1), server(4, 1)});
    rig.join(0, 0);
    rig.join(1, 0);
    rig.join(2, 1);
    rig.join(3, 1);
    rig.run(6 * kSecond);
    return rig;
}

}  // namespace marldale::test
