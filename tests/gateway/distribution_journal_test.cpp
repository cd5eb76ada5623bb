#include <catch2/catch.hpp>
#include <random>

#include "full_comparison_distributor.h"
#include "gateway/distribution/change_journal.h"

namespace marldale::distribution {
namespace {

DesiredResource resourceOf(const std::string& key, unsigned content, bool urgent) {
    DesiredResource out;
    if (key[0] == 'r') {
        out.resource.mutable_route()->set_host_name(key.substr(2));
        out.resource.mutable_route()->set_tries(content);
    } else if (key[0] == 'v') {
        out.resource.mutable_server()->set_id(key.substr(2));
        out.resource.mutable_server()->set_in_flight_most(content);
    } else {
        out.resource.set_zone_empty(key.substr(2));
        urgent = true;
    }
    out.hash = content * 2 + 1;
    out.urgent = urgent;
    return out;
}

// Runs a distributor with a journal and one with full comparison through the same history.
class DistributorPair {
public:
    ResourceDistributor journal;
    FullComparisonDistributor full;
    std::map<ProxyId, std::vector<std::uint64_t>> open;  // unacknowledged marks, by proxy
    std::map<ProxyId, std::map<std::string, std::string>> held;
    bool fault = false;  // injected: changes are hidden from the distributor with a journal

    void put(const std::string& key, const DesiredResource& desired) {
        if (!fault) journal.put(key, desired);
        full.desired[key] = desired;
    }
    void remove(const std::string& key) {
        if (!fault) journal.remove(key);
        full.desired.erase(key);
    }
    void join(ProxyId proxy, const std::string& zone) {
        journal.join(proxy, zone);
        full.join(proxy, zone);
        held[proxy];
    }
    void leave(ProxyId proxy) {
        journal.leave(proxy);
        full.leave(proxy);
        held.erase(proxy);
        open.erase(proxy);
    }
    void answer(ProxyId proxy, std::size_t marks) {
        auto& mine = open[proxy];
        if (marks == 0 || mine.empty()) return;
        journal.answered(proxy, mine[marks - 1]);
        full.answered(proxy, mine[marks - 1]);
        mine.erase(mine.begin(), mine.begin() + static_cast<std::ptrdiff_t>(marks));
    }
    // Runs a turn; returns whether both send the same resources to the same proxies.
    bool turn(Micros now) {
        auto expected = full.turn(now);
        for (const ResourceDistributor::Batch& batch : journal.turn(now)) {
            for (const ProxyId proxy : batch.proxies) {
                const auto at = expected.find(proxy);
                if (at == expected.end()) return false;
                std::vector<std::string> lines;
                for (const proto::Resource& line : batch.lines) lines.push_back(line.SerializeAsString());
                const FullComparisonDistributor::Batch& other = at->second;
                if (batch.mark != other.mark || batch.fresh != other.fresh ||
                    batch.complete != other.complete || lines != other.lines)
                    return false;
                expected.erase(at);
                open[proxy].push_back(batch.mark);
                apply(proxy, batch);
            }
        }
        return expected.empty();
    }
    [[nodiscard]] bool allProxiesComplete() const {
        std::map<std::string, std::string> desired;
        for (const auto& [key, resource] : full.desired) desired[key] = resource.resource.SerializeAsString();
        return std::all_of(held.begin(), held.end(), [&](const auto& h) { return h.second == desired; });
    }

private:
    void apply(ProxyId proxy, const ResourceDistributor::Batch& batch) {
        auto& mine = held[proxy];
        if (batch.fresh) mine.clear();
        for (const proto::Resource& line : batch.lines) {
            switch (line.what_case()) {
                case proto::Resource::kRoute:
                    mine["r " + line.route().host_name()] = line.SerializeAsString();
                    break;
                case proto::Resource::kServer:
                    mine["v " + line.server().id()] = line.SerializeAsString();
                    break;
                case proto::Resource::kZoneEmpty:
                    mine["z " + line.zone_empty()] = line.SerializeAsString();
                    break;
                case proto::Resource::kRouteDrop: mine.erase("r " + line.route_drop()); break;
                case proto::Resource::kServerDrop: mine.erase("v " + line.server_drop()); break;
                case proto::Resource::kZoneFilled: mine.erase("z " + line.zone_filled()); break;
                default: FAIL("an unexpected line");
            }
        }
    }
};

// A random history of changes, joins, leaves, lost acknowledgements and timeouts, followed by a quiet period.
// Returns whether both distributors agreed throughout and all proxies hold all desired resources in the end.
bool agreeOnHistory(std::uint64_t seed, bool injectFault) {
    std::mt19937_64 random(seed);
    DistributorPair pair;
    ProxyId last = 0;
    Micros now = 0;
    for (int step = 0; step < 200; ++step) {
        now += 20000 + static_cast<Micros>(random() % 200000);
        for (std::uint64_t changes = random() % 4; changes > 0; --changes) {
            static constexpr const char* kKinds[] = {"r ", "r ", "v ", "z "};
            const std::string key =
                kKinds[random() % 4] + std::string(1, static_cast<char>('a' + random() % 10));
            pair.fault = injectFault && step == 150;
            if (random() % 4 == 0) {
                pair.remove(key);
            } else {
                pair.put(key, resourceOf(key, 1 + static_cast<unsigned>(random() % 3), random() % 5 == 0));
            }
            pair.fault = false;
        }
        if (random() % 6 == 0) pair.join(++last, random() % 2 == 0 ? "north" : "south");
        if (random() % 12 == 0 && !pair.held.empty()) pair.leave(pair.held.begin()->first);
        if (!pair.turn(now)) return false;
        for (const auto& [proxy, resources] : pair.held) {
            if (random() % 3 == 0) pair.answer(proxy, random() % (pair.open[proxy].size() + 1));
        }
    }
    for (int calm = 0; calm < 80; ++calm) {
        now += 100000;
        if (!pair.turn(now)) return false;
        for (const auto& [proxy, resources] : pair.held) pair.answer(proxy, pair.open[proxy].size());
    }
    return pair.allProxiesComplete();
}

}  // namespace

TEST_CASE("A journal lists each key that changed after a position exactly once", "[journal]") {
    ChangeJournal<std::string> journal;
    journal.record("a");
    journal.record("b");
    const ChangeNumber position = journal.last();
    CHECK(journal.changedAfter(position).empty());
    journal.record("c");
    journal.record("a");
    journal.record("a");
    CHECK(journal.changedAfter(position) == std::set<std::string>{"a", "c"});
    CHECK(journal.size() == 3);  // one entry per key, however often it changed
    journal.trim(position);
    CHECK(journal.changedAfter(position) == std::set<std::string>{"a", "c"});
    journal.trim(journal.last());
    CHECK(journal.size() == 0);
}

TEST_CASE("A distributor with a journal sends what a full comparison finds", "[journal]") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        REQUIRE(agreeOnHistory(seed, false));
    }
}

TEST_CASE("A change that is missing from the journal is detected", "[journal]") {
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) found += agreeOnHistory(seed, true) ? 0 : 1;
    CHECK(found >= 10);  // not every history has a change in that step
}

TEST_CASE("A changed route is a single resource in a single batch for a zone", "[journal]") {
    ResourceDistributor distributor;
    for (int k = 0; k < 600; ++k) {
        const std::string key = "r host-" + std::to_string(k);
        distributor.put(key, resourceOf(key, 1, false));
    }
    constexpr ProxyId kProxies = 73;
    for (ProxyId proxy = 1; proxy <= kProxies; ++proxy) distributor.join(proxy, "north");
    const auto copies = distributor.turn(1000);
    REQUIRE(copies.size() == 1);
    CHECK(copies[0].proxies.size() == kProxies);
    CHECK(copies[0].lines.size() == 600);
    for (ProxyId proxy = 1; proxy <= kProxies; ++proxy) distributor.answered(proxy, copies[0].mark);
    CHECK(distributor.put("r host-7", resourceOf("r host-7", 2, false)));
    CHECK_FALSE(distributor.put("r host-8", resourceOf("r host-8", 1, false)));  // unchanged
    const auto change = distributor.turn(2000);
    REQUIRE(change.size() == 1);
    CHECK(change[0].lines.size() == 1);
    CHECK(change[0].proxies.size() == kProxies);
    CHECK(change[0].complete);
    CHECK(distributor.nextDue() == 2000 + 500000);  // the acknowledgement timeout
}

}  // namespace marldale::distribution
