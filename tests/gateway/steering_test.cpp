#include <catch2/catch.hpp>

#include "gateway/distribution/steering.h"

namespace marldale::distribution {
namespace {

// Applies batches and records the resulting tables, binds and marks of each proxy.
struct ProxyStates {
    std::map<ProxyId, std::map<std::pair<std::string, std::uint32_t>, std::map<std::string, float>>> tables;
    std::map<ProxyId, std::map<std::string, std::uint32_t>> bound;
    std::map<ProxyId, std::vector<std::uint64_t>> marks;
    void apply(const std::vector<Steering::Batch>& batches) {
        for (const auto& batch : batches) {
            if (batch.mark != 0) marks[batch.proxy].push_back(batch.mark);
            for (const proto::Resource& line : batch.lines) {
                if (line.has_weight()) {
                    auto& table = tables[batch.proxy][{line.weight().service(), line.weight().table()}];
                    if (line.weight().weight() > 0) {
                        table[line.weight().server()] = line.weight().weight();
                    } else {
                        table.erase(line.weight().server());
                    }
                }
                // A table is complete before a proxy is bound to it.
                if (line.has_bind()) {
                    CHECK_FALSE(tables[batch.proxy][{line.bind().service(), line.bind().table()}].empty());
                    bound[batch.proxy][line.bind().service()] = line.bind().table();
                }
                if (line.has_table_drop())
                    tables[batch.proxy].erase({line.table_drop().service(), line.table_drop().table()});
            }
        }
    }
    const std::map<std::string, float>& used(ProxyId proxy, const std::string& service) {
        return tables[proxy][{service, bound[proxy][service]}];
    }
};

std::vector<ServerSpec> servers(unsigned count) {
    std::vector<ServerSpec> out;
    for (unsigned i = 0; i < count; ++i)
        out.push_back({"s" + std::to_string(i), "look",
                       i % 3 == 0   ? "a"
                       : i % 3 == 1 ? "b"
                                    : "c",
                       3, false, 0});
    return out;
}
ServiceSpec serviceSpec() {
    ServiceSpec out;
    out.name = "look";
    out.warmUp = 3000000;
    out.latencyTarget[0] = 300000;
    out.giveUp[0] = 2000000;
    return out;
}

}  // namespace

TEST_CASE("A proxy that joins is bound to its zone's table under a mark", "[steering]") {
    Steering steering({"a", "b", "c"}, "a", 1);
    ProxyStates states;
    Micros now = 1000000;
    steering.services({serviceSpec()});
    steering.servers(now, servers(9));
    steering.join(1, "a", 20);
    steering.join(2, "b", 20);
    for (; now < 2000000; now += 50000) states.apply(steering.turn(now));
    REQUIRE(states.bound[1].count("look") == 1);
    REQUIRE(states.bound[2].count("look") == 1);
    CHECK(states.used(1, "look").count("s0") == 1);
    CHECK_FALSE(states.marks[1].empty());
}

TEST_CASE("An emptying server leaves the tables once earlier marks are acknowledged", "[steering]") {
    Steering steering({"a", "b", "c"}, "a", 1);
    ProxyStates states;
    Micros now = 1000000;
    steering.services({serviceSpec()});
    auto all = servers(9);
    steering.servers(now, all);
    steering.join(1, "a", 20);
    for (; now < 2000000; now += 50000) states.apply(steering.turn(now));
    for (const std::uint64_t mark : states.marks[1]) steering.answered(1, mark, 1000);
    all[0].emptying = true;  // its own resource is withdrawn without this wait
    steering.servers(now, all);
    for (; now < 2300000; now += 50000) states.apply(steering.turn(now));
    CHECK(states.used(1, "look").count("s0") == 0);
}

TEST_CASE("Proxies that left get nothing more, and unknown marks are ignored", "[steering]") {
    Steering steering({"a", "b", "c"}, "a", 1);
    ProxyStates states;
    Micros now = 1000000;
    steering.services({serviceSpec()});
    steering.servers(now, servers(9));
    for (ProxyId id = 1; id < 20; ++id) {
        steering.join(id, id % 2 == 0 ? "a" : "b", 20);
        for (int i = 0; i < 6; ++i, now += 50000) states.apply(steering.turn(now));
        for (const std::uint64_t mark : states.marks[id]) steering.answered(id, mark, 1000);
        steering.answered(id, 999999, 1000);
        if (id > 3) steering.leave(static_cast<ProxyId>(id - 3));
    }
    for (const auto& batch : steering.turn(now)) CHECK(batch.proxy > 16);
}

}  // namespace marldale::distribution
