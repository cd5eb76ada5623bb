#include <catch2/catch.hpp>
#include <random>

#include "full_comparison_distributor.h"
#include "gateway/distribution/change_journal.h"

namespace marldale::distribution {
namespace {

DesiredResource resourceOf(const std::string& key, unsigned content, bool urgent) {
    DesiredResource out;
    if (key[0] == 'r') {
        out.line.mutable_route()->set_host_name(key.substr(2));
        out.line.mutable_route()->set_tries(content);
    } else if (key[0] == 'v') {
        out.line.mutable_server()->set_id(key.substr(2));
        out.line.mutable_server()->set_in_flight_most(content);
    } else {
        out.line.set_zone_empty(key.substr(2));
        urgent = true;
    }
    out.hash = content * 2 + 1;
    out.urgent = urgent;
    return out;
}

// A distributor by journal and one by full comparison live through the same history.
class Twins {
public:
    ResourceDistributor journal;
    FullComparisonDistributor full;
    std::map<ProxyId, std::vector<std::uint64_t>> open;  // marks, by proxy
    std::map<ProxyId, std::map<std::string, std::string>> held;
    bool fault = false;  // planted: a change is not told to the journal's distributor

    void put(const std::string& key, const DesiredResource& wanted) {
        if (!fault) journal.put(key, wanted);
        full.wanted[key] = wanted;
    }
    void remove(const std::string& key) {
        if (!fault) journal.remove(key);
        full.wanted.erase(key);
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
    // Both say the same to the same proxies, line by line.
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
                paint(proxy, batch);
            }
        }
        return expected.empty();
    }
    [[nodiscard]] bool everybodyHoldsAll() const {
        std::map<std::string, std::string> wanted;
        for (const auto& [key, resource] : full.wanted) wanted[key] = resource.line.SerializeAsString();
        return std::all_of(held.begin(), held.end(), [&](const auto& h) { return h.second == wanted; });
    }

private:
    void paint(ProxyId proxy, const ResourceDistributor::Batch& batch) {
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

// A random history of changes, joins, leaves, lost answers and timeouts, then calm. Says whether both agreed
// all along, and all proxies hold all that is wanted in the end.
bool agreesOver(std::uint64_t seed, bool plantFault) {
    std::mt19937_64 draw(seed);
    Twins twins;
    ProxyId last = 0;
    Micros now = 0;
    for (int step = 0; step < 200; ++step) {
        now += 20000 + static_cast<Micros>(draw() % 200000);
        for (std::uint64_t changes = draw() % 4; changes > 0; --changes) {
            static constexpr const char* kKinds[] = {"r ", "r ", "v ", "z "};
            const std::string key = kKinds[draw() % 4] + std::string(1, static_cast<char>('a' + draw() % 10));
            twins.fault = plantFault && step == 150;
            if (draw() % 4 == 0) {
                twins.remove(key);
            } else {
                twins.put(key, resourceOf(key, 1 + static_cast<unsigned>(draw() % 3), draw() % 5 == 0));
            }
            twins.fault = false;
        }
        if (draw() % 6 == 0) twins.join(++last, draw() % 2 == 0 ? "north" : "south");
        if (draw() % 12 == 0 && !twins.held.empty()) twins.leave(twins.held.begin()->first);
        if (!twins.turn(now)) return false;
        for (const auto& [proxy, paint] : twins.held) {
            if (draw() % 3 == 0) twins.answer(proxy, draw() % (twins.open[proxy].size() + 1));
        }
    }
    for (int calm = 0; calm < 80; ++calm) {
        now += 100000;
        if (!twins.turn(now)) return false;
        for (const auto& [proxy, paint] : twins.held) twins.answer(proxy, twins.open[proxy].size());
    }
    return twins.everybodyHoldsAll();
}

}  // namespace

TEST_CASE("A journal tells what changed since a position, once and no more", "[journal]") {
    ChangeJournal<std::string> journal;
    journal.record("a");
    journal.record("b");
    const ChangeNumber position = journal.last();
    CHECK(journal.changedAfter(position).empty());
    journal.record("c");
    journal.record("a");
    journal.record("a");
    CHECK(journal.changedAfter(position) == std::set<std::string>{"a", "c"});
    CHECK(journal.size() == 3);  // each key once, however often it changed
    journal.trim(position);
    CHECK(journal.changedAfter(position) == std::set<std::string>{"a", "c"});
    journal.trim(journal.last());
    CHECK(journal.size() == 0);
}

TEST_CASE("By journal goes out what a full comparison finds, line by line", "[journal]") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        REQUIRE(agreesOver(seed, false));
    }
}

TEST_CASE("A change that never reached the journal is found", "[journal]") {
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) found += agreesOver(seed, true) ? 0 : 1;
    CHECK(found >= 10);  // not each history changes something in that step
}

TEST_CASE("One route's change is one line, made once for a zone", "[journal]") {
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
    CHECK_FALSE(distributor.put("r host-8", resourceOf("r host-8", 1, false)));  // nothing new
    const auto change = distributor.turn(2000);
    REQUIRE(change.size() == 1);
    CHECK(change[0].lines.size() == 1);
    CHECK(change[0].proxies.size() == kProxies);
    CHECK(change[0].complete);
    CHECK(distributor.nextDue() == 2000 + 500000);  // the wait for their answers
}

}  // namespace marldale::distribution
