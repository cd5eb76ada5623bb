#include <catch2/catch.hpp>
#include <random>

#include "gateway/distribution/resource_distributor.h"

namespace marldale::distribution {
namespace {

DesiredResource route(const std::string& host, unsigned tries, bool urgent = false) {
    DesiredResource out;
    out.resource.mutable_route()->set_host_name(host);
    out.resource.mutable_route()->set_path_start("/");
    out.resource.mutable_route()->set_tries(tries);
    out.hash = tries * 2 + 1;
    out.urgent = urgent;
    return out;
}
std::string keyOf(const std::string& host) { return "r " + host + " /"; }

// Runs a turn and returns the batches by proxy. No proxy may be in two batches.
std::map<ProxyId, ResourceDistributor::Batch> turnOf(ResourceDistributor& distributor, Micros now) {
    std::map<ProxyId, ResourceDistributor::Batch> out;
    for (const ResourceDistributor::Batch& batch : distributor.turn(now)) {
        for (const ProxyId proxy : batch.proxies) REQUIRE(out.emplace(proxy, batch).second);
    }
    return out;
}

// The routes that a proxy holds after applying its batches.
struct ProxyState {
    std::map<std::string, unsigned> routes;
    void apply(const ResourceDistributor::Batch& batch) {
        if (batch.fresh) routes.clear();
        for (const proto::Resource& line : batch.lines) {
            if (line.has_route()) routes[line.route().host_name()] = line.route().tries();
            if (line.what_case() == proto::Resource::kRouteDrop)
                routes.erase(line.route_drop().substr(0, line.route_drop().find(' ')));
        }
    }
};

}  // namespace

TEST_CASE("Only differences are sent, and later changes wait for the acknowledgement and merge",
          "[resource_distributor]") {
    ResourceDistributor distributor;
    distributor.put(keyOf("a"), route("a", 1));
    distributor.put(keyOf("b"), route("b", 1));
    distributor.join(1, "north");
    const auto first = turnOf(distributor, 1000);
    REQUIRE(first.at(1).fresh);
    REQUIRE(first.at(1).complete);
    REQUIRE(first.at(1).lines.size() == 2);
    distributor.answered(1, first.at(1).mark);
    REQUIRE(turnOf(distributor, 2000).empty());
    distributor.put(keyOf("a"), route("a", 2));
    const auto second = turnOf(distributor, 3000);
    REQUIRE(second.at(1).lines.size() == 1);
    distributor.put(keyOf("a"), route("a", 3));
    distributor.remove(keyOf("b"));
    REQUIRE(turnOf(distributor, 4000).empty());  // waits for the acknowledgement
    distributor.put(keyOf("a"), route("a", 4));
    distributor.answered(1, second.at(1).mark);
    const auto third = turnOf(distributor, 5000);
    REQUIRE(third.at(1).lines.size() == 2);
    CHECK(third.at(1).lines[0].has_route() != third.at(1).lines[1].has_route());
}

TEST_CASE("Urgent resources skip the wait and take waiting changes along", "[resource_distributor]") {
    ResourceDistributor distributor;
    distributor.put(keyOf("a"), route("a", 1));
    distributor.join(1, "north");
    (void)turnOf(distributor, 1000);
    distributor.put(keyOf("a"), route("a", 2));
    REQUIRE(turnOf(distributor, 2000).empty());
    distributor.put(keyOf("b"), route("b", 1, true));
    CHECK(turnOf(distributor, 3000).at(1).lines.size() == 2);
}

TEST_CASE("A proxy that does not acknowledge delays the others no longer than the timeout",
          "[resource_distributor]") {
    ResourceDistributor distributor;
    distributor.put(keyOf("a"), route("a", 1));
    distributor.join(1, "north");
    distributor.join(2, "north");
    const auto first = turnOf(distributor, 1000);
    distributor.answered(1, first.at(1).mark);
    distributor.put(keyOf("a"), route("a", 2));
    std::size_t batches = 0;
    for (Micros now = 2000; now < 1200000 && batches == 0; now += 50000)
        batches = turnOf(distributor, now).count(1);
    CHECK(batches == 1);
}

TEST_CASE("Despite lost acknowledgements every proxy ends up with exactly the desired resources",
          "[resource_distributor]") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        ResourceDistributor distributor;
        std::map<ProxyId, ProxyState> held;
        std::map<ProxyId, std::vector<std::uint64_t>> marks;
        ProxyId last = 0;
        Micros now = 0;
        const auto step = [&](bool answerAll) {
            now += 100000;
            for (const auto& [proxy, batch] : turnOf(distributor, now)) {
                REQUIRE(batch.mark != 0);
                held[proxy].apply(batch);
                marks[proxy].push_back(batch.mark);
            }
            for (auto& [proxy, open] : marks) {
                if (open.empty() || (!answerAll && random() % 3 != 0)) continue;
                const std::size_t upTo = answerAll ? open.size() : 1 + random() % open.size();
                distributor.answered(proxy, open[upTo - 1]);
                open.erase(open.begin(), open.begin() + static_cast<std::ptrdiff_t>(upTo));
            }
        };
        for (int i = 0; i < 120; ++i) {
            const std::string host(1, static_cast<char>('a' + random() % 12));
            switch (random() % 6) {
                case 0: distributor.remove(keyOf(host)); break;
                case 1:
                    distributor.join(++last, random() % 2 == 0 ? "north" : "south");
                    held[last];
                    break;
                case 2:
                    if (!held.empty() && random() % 2 == 0) {
                        const ProxyId leaves = held.begin()->first;
                        distributor.leave(leaves);
                        held.erase(leaves);
                        marks.erase(leaves);
                    }
                    break;
                default:
                    distributor.put(keyOf(host),
                                    route(host, 1 + static_cast<unsigned>(random() % 5), random() % 4 == 0));
            }
            step(false);
        }
        for (int i = 0; i < 60; ++i) step(true);
        std::map<std::string, unsigned> desired;
        for (const auto& [key, resource] : distributor.desired())
            desired[resource.resource.route().host_name()] = resource.resource.route().tries();
        for (const auto& [proxy, has] : held) REQUIRE(has.routes == desired);
    }
}

}  // namespace marldale::distribution
