#include <catch2/catch.hpp>
#include <random>

#include "gateway/distribution/resource_distributor.h"

namespace marldale::distribution {
namespace {

DesiredResource route(const std::string& host, unsigned tries, bool urgent = false) {
    DesiredResource out;
    out.line.mutable_route()->set_host_name(host);
    out.line.mutable_route()->set_path_start("/");
    out.line.mutable_route()->set_tries(tries);
    out.hash = tries * 2 + 1;
    out.urgent = urgent;
    return out;
}
std::string keyOf(const std::string& host) { return "r " + host + " /"; }

// What goes out, by proxy. None may be in two batches.
std::map<ProxyId, ResourceDistributor::Batch> turnOf(ResourceDistributor& book, Micros now) {
    std::map<ProxyId, ResourceDistributor::Batch> out;
    for (const ResourceDistributor::Batch& batch : book.turn(now)) {
        for (const ProxyId proxy : batch.proxies) REQUIRE(out.emplace(proxy, batch).second);
    }
    return out;
}

// A proxy as the lines paint it.
struct Held {
    std::map<std::string, unsigned> routes;
    void take(const ResourceDistributor::Batch& batch) {
        if (batch.fresh) routes.clear();
        for (const proto::Resource& line : batch.lines) {
            if (line.has_route()) routes[line.route().host_name()] = line.route().tries();
            if (line.what_case() == proto::Resource::kRouteDrop)
                routes.erase(line.route_drop().substr(0, line.route_drop().find(' ')));
        }
    }
};

}  // namespace

TEST_CASE("Only what differs goes out, and further changes wait for the answer and merge", "[line_book]") {
    ResourceDistributor book;
    book.put(keyOf("a"), route("a", 1));
    book.put(keyOf("b"), route("b", 1));
    book.join(1, "north");
    const auto first = turnOf(book, 1000);
    REQUIRE(first.at(1).fresh);
    REQUIRE(first.at(1).complete);
    REQUIRE(first.at(1).lines.size() == 2);
    book.answered(1, first.at(1).mark);
    REQUIRE(turnOf(book, 2000).empty());
    book.put(keyOf("a"), route("a", 2));
    const auto second = turnOf(book, 3000);
    REQUIRE(second.at(1).lines.size() == 1);
    book.put(keyOf("a"), route("a", 3));
    book.remove(keyOf("b"));
    REQUIRE(turnOf(book, 4000).empty());  // it waits
    book.put(keyOf("a"), route("a", 4));
    book.answered(1, second.at(1).mark);
    const auto third = turnOf(book, 5000);
    REQUIRE(third.at(1).lines.size() == 2);
    CHECK(third.at(1).lines[0].has_route() != third.at(1).lines[1].has_route());
}

TEST_CASE("What is urgent skips the wait, and takes along what waited", "[line_book]") {
    ResourceDistributor book;
    book.put(keyOf("a"), route("a", 1));
    book.join(1, "north");
    (void)turnOf(book, 1000);
    book.put(keyOf("a"), route("a", 2));
    REQUIRE(turnOf(book, 2000).empty());
    book.put(keyOf("b"), route("b", 1, true));
    CHECK(turnOf(book, 3000).at(1).lines.size() == 2);
}

TEST_CASE("One that stays silent holds the others up no longer than the timeout", "[line_book]") {
    ResourceDistributor book;
    book.put(keyOf("a"), route("a", 1));
    book.join(1, "north");
    book.join(2, "north");
    const auto first = turnOf(book, 1000);
    book.answered(1, first.at(1).mark);
    book.put(keyOf("a"), route("a", 2));
    std::size_t told = 0;
    for (Micros now = 2000; now < 1200000 && told == 0; now += 50000) told = turnOf(book, now).count(1);
    CHECK(told == 1);
}

TEST_CASE("Whatever is lost in between, everyone ends with all that is wanted and nothing else",
          "[line_book]") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 draw(seed);
        ResourceDistributor book;
        std::map<ProxyId, Held> held;
        std::map<ProxyId, std::vector<std::uint64_t>> marks;
        ProxyId last = 0;
        Micros now = 0;
        const auto step = [&](bool answerAll) {
            now += 100000;
            for (const auto& [proxy, batch] : turnOf(book, now)) {
                REQUIRE(batch.mark != 0);
                held[proxy].take(batch);
                marks[proxy].push_back(batch.mark);
            }
            for (auto& [proxy, open] : marks) {
                if (open.empty() || (!answerAll && draw() % 3 != 0)) continue;
                const std::size_t upTo = answerAll ? open.size() : 1 + draw() % open.size();
                book.answered(proxy, open[upTo - 1]);
                open.erase(open.begin(), open.begin() + static_cast<std::ptrdiff_t>(upTo));
            }
        };
        for (int i = 0; i < 120; ++i) {
            const std::string host(1, static_cast<char>('a' + draw() % 12));
            switch (draw() % 6) {
                case 0: book.remove(keyOf(host)); break;
                case 1:
                    book.join(++last, draw() % 2 == 0 ? "north" : "south");
                    held[last];
                    break;
                case 2:
                    if (!held.empty() && draw() % 2 == 0) {
                        const ProxyId leaves = held.begin()->first;
                        book.leave(leaves);
                        held.erase(leaves);
                        marks.erase(leaves);
                    }
                    break;
                default:
                    book.put(keyOf(host),
                             route(host, 1 + static_cast<unsigned>(draw() % 5), draw() % 4 == 0));
            }
            step(false);
        }
        for (int i = 0; i < 60; ++i) step(true);
        std::map<std::string, unsigned> wanted;
        for (const auto& [key, line] : book.desired())
            wanted[line.line.route().host_name()] = line.line.route().tries();
        for (const auto& [proxy, has] : held) REQUIRE(has.routes == wanted);
    }
}

}  // namespace marldale::distribution
