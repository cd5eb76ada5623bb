// Instances that run SWIM over a network in virtual time: it loses, delays and doubles messages, and can be
// parted.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "membership/peers.h"

namespace marldale::standin {

class PeerNetwork {
public:
    PeerNetwork(int count, double loss, std::uint64_t seed, membership::PeerRules rules = {})
        : loss_(loss), random_(seed), rules_(rules) {
        for (int i = 0; i < count; ++i) start(nameOf(i), 1);
    }
    static std::string nameOf(int i) { return "n" + std::to_string(i); }
    // Each knows the first one, and nothing else.
    void start(const std::string& name, std::uint64_t incarnation) {
        auto& node = nodes[name] =
            std::make_unique<membership::Peers>(name, name, incarnation, rules_, random_());
        if (name != "n0") node->addSeed("n0", "n0", now);
        if (name == "n0") node->addSeed("n1", "n1", now);
    }
    void kill(const std::string& name) { nodes.erase(name); }
    void run(Micros span) {
        const Micros until = now + span;
        while (now < until) {
            now += 50000;
            for (auto& [name, node] : nodes) {
                if (node->nextDue() <= now) send(node->tick(now));
            }
            while (!wire_.empty() && wire_.begin()->first <= now) {
                const membership::PeerMessage m = std::move(wire_.extract(wire_.begin()).mapped());
                const auto to = nodes.find(m.to);
                if (to != nodes.end()) send(to->second->received(m, now));
            }
            for (auto& [name, node] : nodes) {
                for (const membership::PeerEvent& e : node->takeEvents()) {
                    events.emplace_back(now, name, e);
                }
            }
        }
    }
    void send(const std::vector<membership::PeerMessage>& messages) {
        for (const membership::PeerMessage& m : messages) {
            ++sent;
            if (apart.count(m.from) != apart.count(m.to)) continue;
            for (int copy = random_() % 20 == 0 ? 2 : 1; copy > 0; --copy) {
                if (static_cast<double>(random_() % 10000) < loss_ * 10000) continue;
                wire_.emplace(now + static_cast<Micros>(1 + random_() % 100) * 1000, m);
            }
        }
    }
    [[nodiscard]] bool allSee(std::size_t others) const {
        for (const auto& [name, node] : nodes) {
            if (node->alive().size() != others) return false;
        }
        return true;
    }
    [[nodiscard]] std::size_t count(membership::PeerEvent::Kind kind, const std::string& name = {}) const {
        std::size_t out = 0;
        for (const auto& [at, by, e] : events)
            out += e.kind == kind && (name.empty() || e.name == name) ? 1 : 0;
        return out;
    }
    void takeEvents() { events.clear(); }
    std::map<std::string, std::unique_ptr<membership::Peers>> nodes;
    std::vector<std::tuple<Micros, std::string, membership::PeerEvent>> events;
    std::set<std::string> apart;
    Micros now = 0;
    std::size_t sent = 0;

private:
    double loss_;
    std::mt19937_64 random_;
    membership::PeerRules rules_;
    std::multimap<Micros, membership::PeerMessage> wire_;
};

}  // namespace marldale::standin
