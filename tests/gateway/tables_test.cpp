// Tests of the routing tables, sliding limits and retry budgets.
#include "gateway/upstream/tables.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace marldale;
using namespace marldale::upstream;

namespace {

constexpr Micros kSecond = 1000000;

proto::ServerResource* serverLine(proto::ResourceBatch& orders, const std::string& id,
                                  const std::string& service = "s", const std::string& zone = "z") {
    auto* line = orders.add_resources()->mutable_server();
    line->set_id(id);
    line->set_service(service);
    line->set_address("10.0.0.1:1" + id);
    line->set_zone(zone);
    return line;
}
void route(proto::ResourceBatch& orders, const std::string& host, const std::string& start,
           const std::string& service = "s") {
    auto* line = orders.add_resources()->mutable_route();
    line->set_host_name(host);
    line->set_path_start(start);
    line->set_tries(2);
    auto* share = line->add_shares();
    share->set_service(service);
    share->set_share(1);
}
void weight(proto::ResourceBatch& orders, std::uint32_t table, const std::string& server, float value) {
    auto* line = orders.add_resources()->mutable_weight();
    line->set_service("s");
    line->set_table(table);
    line->set_server(server);
    line->set_weight(value);
}
void bind(proto::ResourceBatch& orders, std::uint32_t table, std::uint32_t classes = 0) {
    auto* line = orders.add_resources()->mutable_bind();
    line->set_service("s");
    line->set_table(table);
    line->set_classes(classes);
}

// Tables with a clock and shorthands for picks and routes.
struct BoundProxy : Tables {
    Micros now = 100 * kSecond;
    bool applies(const proto::ResourceBatch& orders) { return apply(orders, now); }
    Service& s() {
        Route route;
        route.shares.push_back({"s", 1});
        return serviceOf(route);
    }
    std::map<std::string, int> picks(int count, Kind kind = Kind::readOnly) {
        std::map<std::string, int> made;
        for (int k = 0; k < count; ++k) {
            const Pick pick = Tables::pick(s(), kind, {}, now);
            ++made[pick.room == Room::found ? pick.server->id : pick.room == Room::full ? "full" : "none"];
        }
        return made;
    }
    std::string target(const std::string& host, const std::string& path) const {
        const auto found = Tables::route(host, path);
        return found ? found->shares.front().service : "";
    }
};

}  // namespace

TEST_CASE("A route is found by its host and the longest path prefix", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    orders.set_index(1);
    route(orders, "A.example", "/", "root");
    route(orders, "a.example", "/a/", "a");
    route(orders, "a.example", "/a/b/", "ab");
    route(orders, "a.example", "/a/b/c/d/", "abcd");
    route(orders, "a.example", "/b/x/", "bx");
    route(orders, "b.example", "/only/", "only");
    REQUIRE(proxy.applies(orders));
    CHECK(proxy.target("a.example", "/") == "root");
    CHECK(proxy.target("a.example", "/a") == "root");
    CHECK(proxy.target("a.example", "/a/") == "a");
    CHECK(proxy.target("a.example", "/a/bz/1") == "a");
    CHECK(proxy.target("a.example", "/a/b/c/") == "ab");
    CHECK(proxy.target("a.example", "/a/b/c/d/e") == "abcd");
    CHECK(proxy.target("a.example", "/a/b/c/e/") == "ab");
    CHECK(proxy.target("a.example", "/b/x") == "root");
    CHECK(proxy.target("a.example", "/zzz") == "root");
    CHECK(proxy.target("b.example", "/onl/") == "");
    CHECK(proxy.target("b.example", "/only/x") == "only");
    CHECK(proxy.target("b.example", "") == "");
    CHECK(proxy.target("c.example", "/") == "");
    proto::ResourceBatch drop;
    drop.set_index(2);
    drop.add_resources()->set_route_drop("a.example /a/b/");
    drop.add_resources()->set_route_drop("b.example /only/");
    REQUIRE(proxy.applies(drop));
    CHECK(proxy.target("a.example", "/a/b/c/") == "a");
    CHECK(proxy.target("b.example", "/only/x") == "");
}

TEST_CASE("Random routes: the same result as a linear search", "[tables]") {
    Draw draw(GENERATE(range(1, 20)));
    BoundProxy proxy;
    proto::ResourceBatch orders;
    std::set<std::string> starts;
    const auto path = [&draw] {
        std::string made = "/";
        for (auto k = draw.next() % 5; k > 0; --k) {
            made += static_cast<char>('a' + draw.next() % 3);
            if (draw.next() % 2 == 0) made += static_cast<char>('a' + draw.next() % 2);
            made += '/';
        }
        return made;
    };
    for (int k = 0; k < 40; ++k) starts.insert(path());
    for (const std::string& start : starts) route(orders, "h", start, start);
    REQUIRE(proxy.applies(orders));
    for (int k = 0; k < 300; ++k) {
        const std::string asked = path() + "x";
        std::string longest;
        for (const std::string& start : starts) {
            if (asked.starts_with(start) && start.size() > longest.size()) longest = start;
        }
        CHECK(proxy.target("h", asked) == longest);
    }
}

TEST_CASE("Batches are applied atomically, and never an older one", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch first;
    first.set_index(5);
    first.set_fresh(true);
    first.set_servers_whole(true);
    route(first, "h", "/a/", "s");
    serverLine(first, "1");
    serverLine(first, "2");
    REQUIRE(proxy.applies(first));
    CHECK(proxy.index() == 5);
    CHECK(proxy.picks(50).size() == 2);

    proto::ResourceBatch old;
    old.set_index(4);
    old.set_fresh(true);
    route(old, "h", "/old/", "s");
    CHECK_FALSE(proxy.applies(old));
    CHECK(proxy.target("h", "/a/x") == "s");
    CHECK(proxy.target("h", "/old/x") == "");

    // Without an index the index stays. A fresh batch without the full server list keeps the servers and
    // drops the rest.
    proto::ResourceBatch fresh;
    fresh.set_fresh(true);
    fresh.set_index(5);
    route(fresh, "h", "/b/", "s");
    REQUIRE(proxy.applies(fresh));
    CHECK(proxy.target("h", "/a/x") == "");
    CHECK(proxy.target("h", "/b/x") == "s");
    CHECK(proxy.picks(50).size() == 2);

    proto::ResourceBatch whole;
    whole.set_fresh(true);
    whole.set_servers_whole(true);
    serverLine(whole, "2");
    const ServerPtr kept = proxy.pick(proxy.s(), Kind::readOnly, {}, proxy.now).server;
    REQUIRE(proxy.applies(whole));
    CHECK(proxy.picks(50) == std::map<std::string, int>{{"2", 50}});
    CHECK(proxy.index() == 5);

    proto::ResourceBatch drop;
    drop.add_resources()->set_server_drop("2");
    REQUIRE(proxy.applies(drop));
    CHECK(proxy.picks(1) == std::map<std::string, int>{{"none", 1}});
    CHECK_FALSE(kept->usable());
}

TEST_CASE("Picks follow the bound table's weights, by class", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    for (const char* id : {"1", "2", "3"}) serverLine(orders, id);
    serverLine(orders, "other", "t");
    REQUIRE(proxy.applies(orders));
    CHECK(proxy.picks(300).size() == 3);  // no table bound: equal weights

    proto::ResourceBatch tables;
    weight(tables, 1, "1", 1);
    weight(tables, 1, "other", 5);  // of another service
    weight(tables, 2, "2", 1);
    weight(tables, 2, "3", 3);
    bind(tables, 1, 1U << 1U);
    bind(tables, 2, 1U << 0U | 1U << 2U);
    REQUIRE(proxy.applies(tables));
    CHECK(proxy.picks(50, Kind::writing) == std::map<std::string, int>{{"1", 50}});
    const auto reads = proxy.picks(4000);
    CHECK(reads.size() == 2);
    // Of two draws the server with the lower (in flight + 1) / weight wins: 15 of 16 for weights 3 to 1.
    CHECK(reads.at("3") > 3600);
    CHECK(reads.at("3") < 3900);

    // If no server of the table is usable, all servers have equal weights.
    proto::ResourceBatch gone;
    gone.add_resources()->set_server_drop("1");
    REQUIRE(proxy.applies(gone));
    CHECK(proxy.picks(200, Kind::writing).size() == 2);
}

TEST_CASE("Caps hold, and servers without capacity are skipped", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    serverLine(orders, "1")->set_in_flight_most(2);
    serverLine(orders, "2")->set_connections_most(1);
    REQUIRE(proxy.applies(orders));
    for (int k = 0; k < 3; ++k) {
        const Pick pick = proxy.pick(proxy.s(), Kind::writing, {}, proxy.now);
        REQUIRE(pick.room == Room::found);
        ++pick.server->inFlight;
    }
    CHECK(proxy.pick(proxy.s(), Kind::writing, {}, proxy.now).room == Room::full);
    const ServerPtr one = proxy.s().servers[0];
    const ServerPtr two = proxy.s().servers[1];
    CHECK(one->inFlight == 2);
    CHECK(two->inFlight == 1);
    --two->inFlight;
    const std::vector<ServerPtr> tried{two};
    CHECK(proxy.pick(proxy.s(), Kind::writing, tried, proxy.now).room == Room::full);
    const std::vector<ServerPtr> both{one, two};
    CHECK(proxy.pick(proxy.s(), Kind::writing, both, proxy.now).room == Room::none);
    CHECK(proxy.pick(proxy.s(), Kind::writing, {}, proxy.now).server == two);
}

TEST_CASE("A drained zone gets nothing, and its servers may be cold when it returns", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    auto* service = orders.add_resources()->mutable_service();
    service->set_name("s");
    service->set_warm_up(3 * kSecond);
    serverLine(orders, "1", "s", "a")->set_cold_most(1);
    serverLine(orders, "2", "s", "b");
    orders.add_resources()->set_zone_empty("a");
    REQUIRE(proxy.applies(orders));
    CHECK(proxy.picks(50) == std::map<std::string, int>{{"2", 50}});
    proto::ResourceBatch back;
    back.add_resources()->set_zone_filled("a");
    REQUIRE(proxy.applies(back));
    const ServerPtr cold = proxy.s().servers[0];
    CHECK(proxy.mayBeCold(*cold, proxy.now));
    CHECK(proxy.picks(50) == std::map<std::string, int>{{"2", 50}});  // a warm server has capacity
    proto::ResourceBatch known;
    serverLine(known, "1", "s", "a");
    REQUIRE(proxy.applies(known));
    CHECK_FALSE(proxy.mayBeCold(*cold, proxy.now));
    CHECK(proxy.picks(50).size() == 2);
}

TEST_CASE("A cold server never exceeds its limit in any second", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    auto* line = serverLine(orders, "1");
    line->set_cold_most(3);
    line->set_cold_for(20 * kSecond);
    serverLine(orders, "2")->set_cold_most(0);
    orders.mutable_resources(1)->mutable_server()->set_cold_for(20 * kSecond);
    REQUIRE(proxy.applies(orders));
    std::vector<Micros> sends;
    Draw draw(7);
    for (int k = 0; k < 3000; ++k) {
        proxy.now += static_cast<Micros>(draw.next() % 5000);
        const Pick pick = proxy.pick(proxy.s(), Kind::readOnly, {}, proxy.now);
        if (pick.room != Room::found) continue;
        REQUIRE(pick.server->id == "1");
        proxy.sent(*pick.server, proxy.now);
        sends.push_back(proxy.now);
    }
    CHECK(sends.size() > 15);
    for (std::size_t k = 3; k < sends.size(); ++k) CHECK(sends[k] - sends[k - 3] > kSecond);
}

TEST_CASE("Without a controller every server counts as possibly cold", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    serverLine(orders, "1")->set_cold_most(2);
    serverLine(orders, "2");  // nothing allowed while cold
    REQUIRE(proxy.applies(orders));
    proxy.setIsolated(true);
    int sent = 0;
    for (int k = 0; k < 10; ++k) {
        const Pick pick = proxy.pick(proxy.s(), Kind::readOnly, {}, proxy.now);
        if (pick.room != Room::found) break;
        CHECK(pick.server->id == "1");
        proxy.sent(*pick.server, proxy.now);
        ++sent;
    }
    CHECK(sent == 2);
    proxy.setIsolated(false);
    CHECK(proxy.picks(50).size() == 2);
}

TEST_CASE("A sliding limit keeps its recorded events when its size changes", "[tables]") {
    SlidingLimit limit;
    CHECK_FALSE(limit.allows(0, kSecond));
    limit.setMaxCount(3);
    for (const Micros at : {1, 2, 3}) limit.count(at);
    limit.setMaxCount(2);
    CHECK_FALSE(limit.allows(kSecond + 1, kSecond));
    CHECK(limit.allows(kSecond + 2, kSecond));
    limit.setMaxCount(4);
    CHECK(limit.allows(4, kSecond));
    limit.count(4);
    limit.count(4);
    CHECK_FALSE(limit.allows(kSecond + 1, kSecond));
}

TEST_CASE("Retries never exceed the budget's burst and rates, whatever the order of events", "[tables]") {
    Draw draw(GENERATE(range(1, 30)));
    const Budget::Rates rates{0.15, 0.5, 4};
    Budget budget;
    budget.set(rates);
    budget.fill();
    struct Event {
        Micros at;
        bool isRetry;
    };
    std::vector<Event> events;
    Micros now = 0;
    for (int k = 0; k < 3000; ++k) {
        now += static_cast<Micros>(draw.next() % 20000);
        if (draw.next() % 3 != 0) {
            budget.onRequest(1);
            events.push_back({now, false});
        } else if (budget.take(now, false)) {
            events.push_back({now, true});
        }
    }
    for (std::size_t from = 0; from < events.size(); from += 37) {
        double requests = 0, retries = 0;
        for (std::size_t k = from; k < events.size() && events[k].at < events[from].at + 10 * kSecond; ++k) {
            (events[k].isRetry ? retries : requests) += 1;
        }
        CHECK(retries <= rates.burst + rates.perRequest * requests + rates.perS * 10 + 1e-6);
    }
}

TEST_CASE("A level limits the requests per second", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    serverLine(orders, "1");
    weight(orders, 4, "1", 1);
    bind(orders, 4);
    auto* level = orders.add_resources()->mutable_level();
    level->set_service("s");
    level->set_table(4);
    level->set_classes(1U << 1U);
    level->set_limit(20);
    REQUIRE(proxy.applies(orders));
    int writing = 0, reading = 0;
    for (int k = 0; k < 1000; ++k) {
        proxy.now += 10000;
        writing += proxy.admit(proxy.s(), Kind::writing, proxy.now) ? 1 : 0;
        reading += proxy.admit(proxy.s(), Kind::readOnly, proxy.now) ? 1 : 0;
    }
    CHECK(reading == 1000);
    CHECK(writing >= 199);
    CHECK(writing <= 205);
}

TEST_CASE("Counters are reported once", "[tables]") {
    BoundProxy proxy;
    proto::ResourceBatch orders;
    serverLine(orders, "1");
    serverLine(orders, "2");
    REQUIRE(proxy.applies(orders));
    proxy.countRequest(proxy.s(), Kind::fetchDown);
    proxy.countRequest(proxy.s(), Kind::fetchDown);
    proxy.s().servers[0]->tally = {4, 1, 3, 300};
    proxy.markReplaced(*proxy.s().servers[1]);
    proxy.markReplaced(*proxy.s().servers[1]);
    proto::LoadReport sums;
    proxy.takeLoadReport(sums);
    REQUIRE(sums.servers_size() == 1);
    CHECK(sums.servers(0).server() == "1");
    CHECK(sums.servers(0).tries() == 4);
    CHECK(sums.servers(0).failed() == 1);
    CHECK(sums.servers(0).mean_time() == 100);
    REQUIRE(sums.demands_size() == 1);
    CHECK(sums.demands(0).klass() == 2);
    CHECK(sums.demands(0).came() == 2);
    REQUIRE(sums.voided_size() == 1);
    CHECK(sums.voided(0) == "2");
    CHECK(proxy.picks(20) == std::map<std::string, int>{{"1", 20}});
    proto::LoadReport none;
    proxy.takeLoadReport(none);
    CHECK(none.servers_size() + none.demands_size() + none.voided_size() == 0);
}
