#include "gateway/manifold/tables.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace marldale;
using namespace marldale::manifold;

namespace {

constexpr Micros kSecond = 1000000;

proto::ServerLine* serverLine(proto::Orders& orders, const std::string& id, const std::string& service = "s",
                              const std::string& zone = "z") {
    auto* line = orders.add_lines()->mutable_server();
    line->set_id(id);
    line->set_service(service);
    line->set_address("10.0.0.1:1" + id);
    line->set_zone(zone);
    return line;
}
void route(proto::Orders& orders, const std::string& host, const std::string& start,
           const std::string& service = "s") {
    auto* line = orders.add_lines()->mutable_route();
    line->set_host_name(host);
    line->set_path_start(start);
    line->set_tries(2);
    auto* share = line->add_shares();
    share->set_service(service);
    share->set_share(1);
}
void weight(proto::Orders& orders, std::uint32_t table, const std::string& server, float value) {
    auto* line = orders.add_lines()->mutable_weight();
    line->set_service("s");
    line->set_table(table);
    line->set_server(server);
    line->set_weight(value);
}
void bind(proto::Orders& orders, std::uint32_t table, std::uint32_t classes = 0) {
    auto* line = orders.add_lines()->mutable_bind();
    line->set_service("s");
    line->set_table(table);
    line->set_classes(classes);
}

struct Sluice : Tables {
    Micros now = 100 * kSecond;
    bool obeys(const proto::Orders& orders) { return obey(orders, now); }
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

TEST_CASE("A route is found by its host and the longest start of the path", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    orders.set_index(1);
    route(orders, "A.example", "/", "root");
    route(orders, "a.example", "/a/", "a");
    route(orders, "a.example", "/a/b/", "ab");
    route(orders, "a.example", "/a/b/c/d/", "abcd");
    route(orders, "a.example", "/b/x/", "bx");
    route(orders, "b.example", "/only/", "only");
    REQUIRE(sluice.obeys(orders));
    CHECK(sluice.target("a.example", "/") == "root");
    CHECK(sluice.target("a.example", "/a") == "root");
    CHECK(sluice.target("a.example", "/a/") == "a");
    CHECK(sluice.target("a.example", "/a/bz/1") == "a");
    CHECK(sluice.target("a.example", "/a/b/c/") == "ab");
    CHECK(sluice.target("a.example", "/a/b/c/d/e") == "abcd");
    CHECK(sluice.target("a.example", "/a/b/c/e/") == "ab");
    CHECK(sluice.target("a.example", "/b/x") == "root");
    CHECK(sluice.target("a.example", "/zzz") == "root");
    CHECK(sluice.target("b.example", "/onl/") == "");
    CHECK(sluice.target("b.example", "/only/x") == "only");
    CHECK(sluice.target("b.example", "") == "");
    CHECK(sluice.target("c.example", "/") == "");
    proto::Orders drop;
    drop.set_index(2);
    drop.add_lines()->set_route_drop("a.example /a/b/");
    drop.add_lines()->set_route_drop("b.example /only/");
    REQUIRE(sluice.obeys(drop));
    CHECK(sluice.target("a.example", "/a/b/c/") == "a");
    CHECK(sluice.target("b.example", "/only/x") == "");
}

TEST_CASE("Random routes: the same as by looking at all of them", "[tables]") {
    Draw draw(GENERATE(range(1, 20)));
    Sluice sluice;
    proto::Orders orders;
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
    REQUIRE(sluice.obeys(orders));
    for (int k = 0; k < 300; ++k) {
        const std::string asked = path() + "x";
        std::string longest;
        for (const std::string& start : starts) {
            if (asked.starts_with(start) && start.size() > longest.size()) longest = start;
        }
        CHECK(sluice.target("h", asked) == longest);
    }
}

TEST_CASE("Orders are obeyed whole, and never back", "[tables]") {
    Sluice sluice;
    proto::Orders first;
    first.set_index(5);
    first.set_fresh(true);
    first.set_servers_whole(true);
    route(first, "h", "/a/", "s");
    serverLine(first, "1");
    serverLine(first, "2");
    REQUIRE(sluice.obeys(first));
    CHECK(sluice.index() == 5);
    CHECK(sluice.picks(50).size() == 2);

    proto::Orders old;
    old.set_index(4);
    old.set_fresh(true);
    route(old, "h", "/old/", "s");
    CHECK_FALSE(sluice.obeys(old));
    CHECK(sluice.target("h", "/a/x") == "s");
    CHECK(sluice.target("h", "/old/x") == "");

    // Without an index: as before. Fresh without whole servers: they stay, the rest is void.
    proto::Orders fresh;
    fresh.set_fresh(true);
    fresh.set_index(5);
    route(fresh, "h", "/b/", "s");
    REQUIRE(sluice.obeys(fresh));
    CHECK(sluice.target("h", "/a/x") == "");
    CHECK(sluice.target("h", "/b/x") == "s");
    CHECK(sluice.picks(50).size() == 2);

    proto::Orders whole;
    whole.set_fresh(true);
    whole.set_servers_whole(true);
    serverLine(whole, "2");
    const ServerPtr kept = sluice.pick(sluice.s(), Kind::readOnly, {}, sluice.now).server;
    REQUIRE(sluice.obeys(whole));
    CHECK(sluice.picks(50) == std::map<std::string, int>{{"2", 50}});
    CHECK(sluice.index() == 5);

    proto::Orders drop;
    drop.add_lines()->set_server_drop("2");
    REQUIRE(sluice.obeys(drop));
    CHECK(sluice.picks(1) == std::map<std::string, int>{{"none", 1}});
    CHECK_FALSE(kept->usable());
}

TEST_CASE("Picks follow the bound table's weights, by class", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    for (const char* id : {"1", "2", "3"}) serverLine(orders, id);
    serverLine(orders, "other", "t");
    REQUIRE(sluice.obeys(orders));
    CHECK(sluice.picks(300).size() == 3);  // none bound: all alike

    proto::Orders tables;
    weight(tables, 1, "1", 1);
    weight(tables, 1, "other", 5);  // serves something else
    weight(tables, 2, "2", 1);
    weight(tables, 2, "3", 3);
    bind(tables, 1, 1U << 1U);
    bind(tables, 2, 1U << 0U | 1U << 2U);
    REQUIRE(sluice.obeys(tables));
    CHECK(sluice.picks(50, Kind::writing) == std::map<std::string, int>{{"1", 50}});
    const auto reads = sluice.picks(4000);
    CHECK(reads.size() == 2);
    // Of two drawn, the one with (in flight + 1) / weight lower: 15 in 16 for three to one.
    CHECK(reads.at("3") > 3600);
    CHECK(reads.at("3") < 3900);

    // None of its lines usable: all servers count alike.
    proto::Orders gone;
    gone.add_lines()->set_server_drop("1");
    REQUIRE(sluice.obeys(gone));
    CHECK(sluice.picks(200, Kind::writing).size() == 2);
}

TEST_CASE("Caps hold, and a server without room waits for nobody", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    serverLine(orders, "1")->set_in_flight_most(2);
    serverLine(orders, "2")->set_connections_most(1);
    REQUIRE(sluice.obeys(orders));
    for (int k = 0; k < 3; ++k) {
        const Pick pick = sluice.pick(sluice.s(), Kind::writing, {}, sluice.now);
        REQUIRE(pick.room == Room::found);
        ++pick.server->inFlight;
    }
    CHECK(sluice.pick(sluice.s(), Kind::writing, {}, sluice.now).room == Room::full);
    const ServerPtr one = sluice.s().servers[0];
    const ServerPtr two = sluice.s().servers[1];
    CHECK(one->inFlight == 2);
    CHECK(two->inFlight == 1);
    --two->inFlight;
    const std::vector<ServerPtr> tried{two};
    CHECK(sluice.pick(sluice.s(), Kind::writing, tried, sluice.now).room == Room::full);
    const std::vector<ServerPtr> both{one, two};
    CHECK(sluice.pick(sluice.s(), Kind::writing, both, sluice.now).room == Room::none);
    CHECK(sluice.pick(sluice.s(), Kind::writing, {}, sluice.now).server == two);
}

TEST_CASE("An emptied zone gets nothing, and its servers may be cold when it is back", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    auto* service = orders.add_lines()->mutable_service();
    service->set_name("s");
    service->set_warm_up(3 * kSecond);
    serverLine(orders, "1", "s", "a")->set_cold_most(1);
    serverLine(orders, "2", "s", "b");
    orders.add_lines()->set_zone_empty("a");
    REQUIRE(sluice.obeys(orders));
    CHECK(sluice.picks(50) == std::map<std::string, int>{{"2", 50}});
    proto::Orders back;
    back.add_lines()->set_zone_filled("a");
    REQUIRE(sluice.obeys(back));
    const ServerPtr cold = sluice.s().servers[0];
    CHECK(sluice.mayBeCold(*cold, sluice.now));
    CHECK(sluice.picks(50) == std::map<std::string, int>{{"2", 50}});  // a warm one has room
    proto::Orders known;
    serverLine(known, "1", "s", "a");
    REQUIRE(sluice.obeys(known));
    CHECK_FALSE(sluice.mayBeCold(*cold, sluice.now));
    CHECK(sluice.picks(50).size() == 2);
}

TEST_CASE("A cold server gets no more than its limit in any second", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    auto* line = serverLine(orders, "1");
    line->set_cold_most(3);
    line->set_cold_for(20 * kSecond);
    serverLine(orders, "2")->set_cold_most(0);
    orders.mutable_lines(1)->mutable_server()->set_cold_for(20 * kSecond);
    REQUIRE(sluice.obeys(orders));
    std::vector<Micros> sends;
    Draw draw(7);
    for (int k = 0; k < 3000; ++k) {
        sluice.now += static_cast<Micros>(draw.next() % 5000);
        const Pick pick = sluice.pick(sluice.s(), Kind::readOnly, {}, sluice.now);
        if (pick.room != Room::found) continue;
        REQUIRE(pick.server->id == "1");
        sluice.sent(*pick.server, sluice.now);
        sends.push_back(sluice.now);
    }
    CHECK(sends.size() > 15);
    for (std::size_t k = 3; k < sends.size(); ++k) CHECK(sends[k] - sends[k - 3] > kSecond);
}

TEST_CASE("Stranded, every server counts as possibly cold", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    serverLine(orders, "1")->set_cold_most(2);
    serverLine(orders, "2");  // none while cold
    REQUIRE(sluice.obeys(orders));
    sluice.strand(true);
    int sent = 0;
    for (int k = 0; k < 10; ++k) {
        const Pick pick = sluice.pick(sluice.s(), Kind::readOnly, {}, sluice.now);
        if (pick.room != Room::found) break;
        CHECK(pick.server->id == "1");
        sluice.sent(*pick.server, sluice.now);
        ++sent;
    }
    CHECK(sent == 2);
    sluice.strand(false);
    CHECK(sluice.picks(50).size() == 2);
}

TEST_CASE("A limit keeps what was counted when it changes", "[tables]") {
    SlidingLimit limit;
    CHECK_FALSE(limit.allows(0, kSecond));
    limit.setMost(3);
    for (const Micros at : {1, 2, 3}) limit.count(at);
    limit.setMost(2);
    CHECK_FALSE(limit.allows(kSecond + 1, kSecond));
    CHECK(limit.allows(kSecond + 2, kSecond));
    limit.setMost(4);
    CHECK(limit.allows(4, kSecond));
    limit.count(4);
    limit.count(4);
    CHECK_FALSE(limit.allows(kSecond + 1, kSecond));
}

TEST_CASE("Further tries never exceed burst and part, whatever the order of events", "[tables]") {
    Draw draw(GENERATE(range(1, 30)));
    const Budget::Rates rates{0.15, 0.5, 4};
    Budget budget;
    budget.set(rates);
    budget.fill();
    struct Event {
        Micros at;
        bool further;
    };
    std::vector<Event> events;
    Micros now = 0;
    for (int k = 0; k < 3000; ++k) {
        now += static_cast<Micros>(draw.next() % 20000);
        if (draw.next() % 3 != 0) {
            budget.came(1);
            events.push_back({now, false});
        } else if (budget.take(now, false)) {
            events.push_back({now, true});
        }
    }
    for (std::size_t from = 0; from < events.size(); from += 37) {
        double came = 0, further = 0;
        for (std::size_t k = from; k < events.size() && events[k].at < events[from].at + 10 * kSecond; ++k) {
            (events[k].further ? further : came) += 1;
        }
        CHECK(further <= rates.burst + rates.perRequest * came + rates.perS * 10 + 1e-6);
    }
}

TEST_CASE("A level lets in so many a second", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    serverLine(orders, "1");
    weight(orders, 4, "1", 1);
    bind(orders, 4);
    auto* level = orders.add_lines()->mutable_level();
    level->set_service("s");
    level->set_table(4);
    level->set_classes(1U << 1U);
    level->set_limit(20);
    REQUIRE(sluice.obeys(orders));
    int writing = 0, reading = 0;
    for (int k = 0; k < 1000; ++k) {
        sluice.now += 10000;
        writing += sluice.admit(sluice.s(), Kind::writing, sluice.now) ? 1 : 0;
        reading += sluice.admit(sluice.s(), Kind::readOnly, sluice.now) ? 1 : 0;
    }
    CHECK(reading == 1000);
    CHECK(writing >= 199);
    CHECK(writing <= 205);
}

TEST_CASE("What was counted is told once", "[tables]") {
    Sluice sluice;
    proto::Orders orders;
    serverLine(orders, "1");
    serverLine(orders, "2");
    REQUIRE(sluice.obeys(orders));
    sluice.cameTo(sluice.s(), Kind::fetchDown);
    sluice.cameTo(sluice.s(), Kind::fetchDown);
    sluice.s().servers[0]->tally = {4, 1, 3, 300};
    sluice.voided(*sluice.s().servers[1]);
    sluice.voided(*sluice.s().servers[1]);
    proto::Sums sums;
    sluice.takeSums(sums);
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
    CHECK(sluice.picks(20) == std::map<std::string, int>{{"1", 20}});
    proto::Sums none;
    sluice.takeSums(none);
    CHECK(none.servers_size() + none.demands_size() + none.voided_size() == 0);
}
