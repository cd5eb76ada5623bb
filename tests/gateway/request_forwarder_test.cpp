// Tests of RequestForwarder over loopback with scripted servers.
#include "edge_proxy_support.h"

using namespace marldale::edge_proxy;
using marldale::Micros;

TEST_CASE("A request reaches a server unchanged and its answer comes back", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    Client client(world);
    for (int k = 0; k < 3; ++k) {
        const std::string id = "t" + std::to_string(k);
        const Reply reply =
            client.ask(get("/r/x?y=/../%2e", id,
                           "Connection: keep-alive, X-Gone\r\nX-Gone: 1\r\nTE: trailers\r\nX-Other: o\r\n"));
        REQUIRE(reply.status == 200);
        CHECK(reply.body == "hello");
        CHECK(fieldOf(reply.head, "X-Server-Seal") == "s." + id);
        CHECK(fieldOf(reply.head, "X-Try-Id") == id);
    }
    REQUIRE(server.seen.size() == 3);
    CHECK(server.connections == 1);
    const std::string& text = server.seen.front().text;
    CHECK(text.find("GET /r/x?y=/../%2e HTTP/1.1\r\n") == 0);
    CHECK(server.seen.front().meant == "i-1");
    CHECK(fieldOf(text, "Host") == "a.example");
    CHECK(fieldOf(text, "X-Other") == "o");
    CHECK(fieldOf(text, "X-Gone").empty());
    CHECK(fieldOf(text, "TE").empty());
    CHECK(fieldOf(text, "Connection").empty());
    const int left = std::stoi(fieldOf(text, "X-Time-Left"));
    CHECK(left > 1500);
    CHECK(left < 2000);
}

TEST_CASE("Bodies are forwarded with Content-Length, however they were framed", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    Client client(world);
    REQUIRE(client.ask(post("/w/a", "one", "b=1&c=2")).status == 200);
    REQUIRE(
        client
            .ask(
                "POST /w/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: two\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3;x=y\r\nb=1\r\n4\r\n&c=2\r\n0\r\nT: r\r\n\r\n")
            .status == 200);
    REQUIRE(server.seen.size() == 2);
    CHECK(server.seen[0].text.substr(server.seen[0].text.size() - 7) == "b=1&c=2");
    CHECK(server.seen[1].text.substr(server.seen[1].text.size() - 11) == "\r\n\r\nb=1&c=2");
    CHECK(fieldOf(server.seen[1].text, "Content-Length") == "7");
    CHECK(fieldOf(server.seen[1].text, "Transfer-Encoding").empty());
}

namespace {

ServerAction refusal(const ReceivedRequest& seen) {
    return {"HTTP/1.1 503 Service Unavailable\r\nX-Try-Id: " + seen.id +
            "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

// Two servers: `first` handles the first request that either receives, all others succeed.
struct TwoServers : World {
    FakeServer& one = server("i-1");
    FakeServer& other = server("i-2");
    bool met = false;
    explicit TwoServers(const std::function<ServerAction(const ReceivedRequest&)>& first) {
        for (FakeServer* server : {&one, &other}) {
            server->script = [this, first](const ReceivedRequest& seen) {
                if (std::exchange(met, true)) return ServerAction{good(seen.id)};
                return first(seen);
            };
        }
        start();
    }
    std::size_t arrivals() const { return one.seen.size() + other.seen.size(); }
};

}  // namespace

TEST_CASE("A request proven not run goes to another server, whatever its kind", "[request_forwarder]") {
    const std::string path = GENERATE("/r/a", "/w/a");
    SECTION("refused") {
        TwoServers world(refusal);
        Client client(world);
        CHECK(client.ask(post(path, "t")).status == 200);
        CHECK(world.one.seen.size() == 1);
        CHECK(world.other.seen.size() == 1);
    }
    SECTION("another incarnation") {
        TwoServers world([](const ReceivedRequest&) {
            return ServerAction{
                "HTTP/1.1 421 Misdirected Request\r\nX-Answering-Server: i-9\r\nContent-Length: 0\r\n\r\n"};
        });
        Client client(world);
        CHECK(client.ask(post(path, "t")).status == 200);
        CHECK(world.arrivals() == 2);
        auto sums = world.forwarder->takeLoadReport(World::now());
        REQUIRE(sums.voided_size() == 1);
        // The replaced server gets nothing more until its entry is sent again.
        FakeServer& gone = sums.voided(0) == "i-1" ? world.one : world.other;
        const std::size_t before = gone.seen.size();
        for (int k = 0; k < 10; ++k) CHECK(client.ask(post(path, "u" + std::to_string(k))).status == 200);
        CHECK(gone.seen.size() == before);
        marldale::edge_proxy::proto::ResourceBatch again;
        World::serverLine(again, gone);
        world.apply(again);
        for (int k = 0; k < 20; ++k) CHECK(client.ask(post(path, "v" + std::to_string(k))).status == 200);
        CHECK(gone.seen.size() > before);
    }
    SECTION("a dead port") {
        TwoServers world([](const ReceivedRequest& seen) { return ServerAction{good(seen.id)}; });
        world.one.stopListening();
        Client client(world);
        for (int k = 0; k < 10; ++k) CHECK(client.ask(post(path, "t" + std::to_string(k))).status == 200);
        CHECK(world.other.seen.size() == 10);
    }
}

TEST_CASE(
    "Without proof a writing request is not sent again and the answer does not imply that it has not run",
    "[request_forwarder]") {
    const auto [what, does] = GENERATE(table<std::string, std::function<ServerAction(const ReceivedRequest&)>>({
        {"reset", [](const ReceivedRequest&) { return ServerAction{"", ServerAction::Then::reset}; }},
        {"closed", [](const ReceivedRequest&) { return ServerAction{"", ServerAction::Then::close}; }},
        {"garbage", [](const ReceivedRequest&) { return ServerAction{"\x01\x02 nonsense\r\n\r\n"}; }},
        {"another id", [](const ReceivedRequest&) { return ServerAction{good("late")}; }},
        {"no id", [](const ReceivedRequest&) { return ServerAction{"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"}; }},
        {"no seal",
         [](const ReceivedRequest& seen) {
             return ServerAction{"HTTP/1.1 200 OK\r\nX-Try-Id: " + seen.id + "\r\nContent-Length: 1\r\n\r\nx"};
         }},
        {"an encoding", [](const ReceivedRequest& seen) { return ServerAction{good(seen.id, "zip", "Content-Encoding: gzip\r\n")}; }},
        {"cut", [](const ReceivedRequest& seen) {
             const std::string whole = good(seen.id, "a longer body");
             return ServerAction{whole.substr(0, whole.size() - 3), ServerAction::Then::close};
         }},
        {"cut in its head",
         [](const ReceivedRequest& seen) { return ServerAction{"HTTP/1.1 200 OK\r\nX-Try-Id: " + seen.id, ServerAction::Then::close}; }},
        {"no end",
         [](const ReceivedRequest& seen) {
             return ServerAction{"HTTP/1.1 200 OK\r\nX-Try-Id: " + seen.id + "\r\nX-Server-Seal: s\r\n\r\nbody",
                         ServerAction::Then::close};
         }},
        {"a promise without a proof",
         [](const ReceivedRequest& seen) {
             return ServerAction{"HTTP/1.1 503 No\r\nX-Try-Id: " + seen.id + "\r\nContent-Length: 0\r\n\r\n"};
         }},
        {"a refusal of another request",
         [](const ReceivedRequest&) {
             return ServerAction{"HTTP/1.1 503 No\r\nX-Try-Id: late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
         }},
    }));
    INFO(what);
    {
        TwoServers world(does);
        Client client(world);
        const Reply reply = client.ask(post("/w/a", "t"));
        CHECK(reply.status == 502);
        CHECK(world.arrivals() == 1);
        CHECK(client.ask(post("/w/a", "u")).status == 200);
    }
    {
        // A repeatable request is sent again.
        TwoServers world(does);
        Client client(world);
        const Reply reply = client.ask(get("/r/a", "t"));
        CHECK(reply.status == 200);
        CHECK(fieldOf(reply.head, "X-Try-Id") == "t");
        CHECK(world.arrivals() == 2);
    }
}

TEST_CASE("A server's failure is forwarded, for a reading request after a retry", "[request_forwarder]") {
    const auto failure = [](const ReceivedRequest& seen) {
        return ServerAction{"HTTP/1.1 500 Own\r\nX-Try-Id: " + seen.id +
                            "\r\nX-Mine: yes\r\nContent-Length: 4\r\n\r\noops"};
    };
    TwoServers world(failure);
    Client client(world);
    const Reply written = client.ask(post("/w/a", "t"));
    CHECK(written.status == 500);
    CHECK(written.body == "oops");
    CHECK(fieldOf(written.head, "X-Mine") == "yes");
    world.met = false;
    CHECK(client.ask(get("/r/a", "u")).status == 200);
    CHECK(world.arrivals() == 3);
    for (FakeServer* server : {&world.one, &world.other}) server->script = failure;
    CHECK(client.ask(get("/r/a", "v")).body == "oops");
    CHECK(world.arrivals() == 5);
}

TEST_CASE("Surplus bytes after an answer are discarded", "[request_forwarder]") {
    const std::string extra = GENERATE(as<std::string>{}, "surplus", good("t"), good("u", "evil"));
    TwoServers world([&](const ReceivedRequest& seen) { return ServerAction{good(seen.id) + extra}; });
    Client client(world);
    SECTION("writing") {
        const Reply reply = client.ask(post("/w/a", "t"));
        CHECK(reply.status == 200);
        CHECK(reply.body == "hello");
        CHECK(world.arrivals() == 1);
    }
    SECTION("reading") {
        CHECK(client.ask(get("/r/a", "t")).body == "hello");
        CHECK(world.arrivals() == 2);
    }
    // Their connection is not reused.
    for (FakeServer* server : {&world.one, &world.other}) {
        server->script = [](const ReceivedRequest& seen) { return ServerAction{good(seen.id, "fine")}; };
    }
    for (int k = 0; k < 4; ++k) CHECK(client.ask(post("/w/a", "u")).body == "fine");
    CHECK(client.rest().empty());
}

TEST_CASE("A late surplus answer ends its connection", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    Client client(world);
    REQUIRE(client.ask(post("/w/a", "t")).status == 200);
    server.sendLater("t", good("t"));
    world.turn();
    CHECK(client.ask(post("/w/a", "u")).status == 200);
    CHECK(server.connections == 2);
    // Also without a loop turn in between: the check before reuse detects it.
    server.sendLater("u", good("u"));
    CHECK(client.ask(post("/w/a", "v")).status == 200);
    CHECK(server.seen.size() == 3);
}

TEST_CASE("The budget bounds retries", "[request_forwarder]") {
    World world;
    world.settings.extraTries = 0;
    world.settings.retryRatio = 0;
    FakeServer& one = world.server("i-1");
    FakeServer& other = world.server("i-2");
    one.script = other.script = refusal;
    world.start();
    Client client(world);
    unsigned refused = 0;
    for (int k = 0; k < 20; ++k) {
        const Reply reply = client.ask(get("/r/a", "t" + std::to_string(k)));
        if (reply.status == 503 && !fieldOf(reply.head, "Retry-After").empty()) ++refused;
    }
    CHECK(refused == 20);
    CHECK(one.seen.size() + other.seen.size() == 21);  // the budget had one token
}

TEST_CASE("No route, no configuration, and readiness", "[request_forwarder]") {
    World world;
    world.server("i-1");
    world.forwarder = std::make_unique<RequestForwarder>(world.loop, world.settings, world.tables);
    REQUIRE(world.forwarder->listen().ok());
    Client client(world);
    Client platform(world, world.forwarder->readinessPort());
    const std::string look = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    CHECK(platform.ask(look).status == 503);
    const Reply early = client.ask(get("/r/a", "t"));
    CHECK(early.status == 503);
    CHECK_FALSE(fieldOf(early.head, "Retry-After").empty());
    world.apply(world.batch());
    CHECK(platform.ask(look).status == 200);
    CHECK(client.ask(get("/no/a", "t")).status == 404);
    CHECK(client.ask(get("/r/a", "t")).status == 200);
    CHECK(client.ask("GET /r/a HTTP/1.1\r\nhOST:  A.Example:8080 \r\nX-Try-Id: t\r\n\r\n").status == 200);
    CHECK(client.ask("GET /r/a HTTP/1.1\r\nHost: b.example\r\nX-Try-Id: t\r\n\r\n").status == 404);
}

TEST_CASE("Malformed HTTP is refused and its connection ends", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    const std::string head = "POST /w/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: t\r\n";
    const std::string bad = GENERATE_COPY(
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nb=1",
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nb=1", head + "Content-Length: 3, 3\r\n\r\nb=1",
        head + "Content-Length: +3\r\n\r\nb=1", head + "Content-Length: 0x3\r\n\r\nb=1",
        head + "Content-Length: -1\r\n\r\nb=1", head + "Content-Length:\r\n\r\nb=1",
        head + "Content-Length : 3\r\n\r\nb=1", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: identity\r\n\r\n",
        head +
            "Transfer-Encoding: \x0b"
            "chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n-3\r\nb=1\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n3\nb=1\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n 3\r\nb=1\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nb=12\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nb=1\r\n0\r\n\r\n",
        head + "X-A: b\r\n folded\r\n\r\n", head + "X-A: b\nX-B: c\r\n\r\n", head + "X-A: b\rX-B: c\r\n\r\n",
        head + "X-A: b\x01\r\n\r\n", head + std::string("X-A: b\0c\r\n\r\n", 12), head + "X A: b\r\n\r\n",
        head + ": b\r\n\r\n", head + "no colon\r\n\r\n", head + "Host: a.example\r\n\r\n",
        head + "X-Try-Id: u\r\n\r\n", "POST /w/a HTTP/1.1\r\nX-Try-Id: t\r\n\r\n",
        "POST /w/a HTTP/1.2\r\nHost: a.example\r\n\r\n", "POST /w/a HTTP/2.0\r\nHost: a.example\r\n\r\n",
        "POST  /w/a HTTP/1.1\r\nHost: a.example\r\n\r\n", "POST /w/a  HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "POST /w/a\tb HTTP/1.1\r\nHost: a.example\r\n\r\n", "POST /w/a HTTP/1.1 \r\nHost: a.example\r\n\r\n",
        " POST /w/a HTTP/1.1\r\nHost: a.example\r\n\r\n", "POST /w/a HTTP/1.1\nHost: a.example\n\n",
        "POST /w/a\r\nHost: a.example\r\n\r\n", "POST w/a HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "\r\nPOST /w/a HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "POST /w/a HTTP/1.0\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    INFO(bad);
    Client client(world);
    client.send(bad + get("/r/smuggled", "s"));
    const Reply reply = client.read();
    CHECK(reply.status == 400);
    CHECK(fieldOf(reply.head, "Connection") == "close");
    CHECK(client.waitClosed());
    CHECK(client.rest().empty());
    CHECK(server.seen.empty());
}

TEST_CASE("Limits on heads, bodies and waits", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    Client client(world);
    const std::string half = "GET /r/a HTTP/1.1\r\nHost: a.example\r\n";
    SECTION("a long head") {
        client.send(half + "X-A: " + std::string(5000, 'a'));
        CHECK(client.read().status == 431);
    }
    SECTION("a large body") {
        client.send("POST /w/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9000000\r\n\r\n");
        CHECK(client.read().status == 413);
    }
    SECTION("a large body in chunks") {
        client.send("POST /w/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n900000\r\n");
        CHECK(client.read().status == 413);
    }
    SECTION("a head that stalls") {
        client.send(half);
        CHECK(client.read().status == 408);
    }
    SECTION("a body that stalls") {
        client.send("POST /w/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: t\r\nContent-Length: 9\r\n\r\nb=");
        CHECK(client.read().status == 408);
    }
    SECTION("bodies beyond the total buffer limit") {
        marldale::edge_proxy::proto::ResourceBatch orders;
        orders.add_resources()->mutable_limits()->set_max_header_bytes(4096);
        orders.mutable_resources(0)->mutable_limits()->set_max_body_bytes(64 << 20);
        orders.mutable_resources(0)->mutable_limits()->set_header_wait(2000000);
        orders.mutable_resources(0)->mutable_limits()->set_quiet(2000000);
        world.apply(orders);
        client.send(
            "POST /w/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: t\r\nContent-Length: 34000000\r\n\r\n");
        const Reply reply = client.read();
        CHECK(reply.status == 503);
        CHECK_FALSE(fieldOf(reply.head, "Retry-After").empty());
    }
    CHECK(client.waitClosed());
    CHECK(server.seen.empty());
}

TEST_CASE("A connection that stays quiet is closed without an answer", "[request_forwarder]") {
    World world;
    world.server("i-1");
    auto orders = world.batch();
    for (auto& line : *orders.mutable_resources()) {
        if (line.has_limits()) line.mutable_limits()->set_quiet(30000);
    }
    world.start(orders);
    Client fresh(world), used(world);
    CHECK(used.ask(get("/r/a", "t")).status == 200);
    CHECK(fresh.waitClosed());
    CHECK(used.waitClosed());
    CHECK(fresh.rest().empty());
    CHECK(used.rest().empty());
}

TEST_CASE("Requests on one connection are answered one after the other", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    Client client(world);
    std::string all;
    for (int k = 0; k < 20; ++k)
        all += k % 2 == 0 ? get("/r/a", "t" + std::to_string(k)) : post("/w/a", "t" + std::to_string(k));
    client.send(all);
    for (int k = 0; k < 20; ++k) CHECK(fieldOf(client.read().head, "X-Try-Id") == "t" + std::to_string(k));
    CHECK(server.seen.size() == 20);
}

TEST_CASE("Large answers stream, wait for slow clients, and are visibly incomplete when cut",
          "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    std::string body(3000000, 'x');
    for (std::size_t k = 0; k < body.size(); k += 1000) body[k] = static_cast<char>('a' + k / 1000 % 26);
    Client client(world);
    std::string chunked;
    for (std::size_t k = 0; k < body.size(); k += 100000)
        chunked += "186a0\r\n" + body.substr(k, 100000) + "\r\n";
    SECTION("with a length") {
        server.script = [&](const ReceivedRequest& seen) { return ServerAction{good(seen.id, body)}; };
        const Reply reply = client.ask(get("/d/a", "t"));
        CHECK(reply.status == 200);
        CHECK((reply.body == body));
        CHECK(fieldOf(reply.head, "Content-Length") == "3000000");
    }
    SECTION("in chunks") {
        server.script = [&](const ReceivedRequest& seen) {
            return ServerAction{"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Try-Id: " + seen.id +
                                "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\n\r\n"};
        };
        CHECK((client.ask(get("/d/a", "t")).body == body));
        CHECK((client.ask(get("/d/a", "u")).body == body));
    }
    SECTION("cut, with a length") {
        server.script = [&](const ReceivedRequest& seen) {
            return ServerAction{good(seen.id, body).substr(0, 1500000), ServerAction::Then::close};
        };
        const Reply reply = client.ask(get("/d/a", "t"));
        CHECK(reply.closed);
        CHECK_FALSE(reply.whole);
        CHECK(reply.body.size() < body.size());
    }
    SECTION("cut, in chunks") {
        server.script = [&](const ReceivedRequest& seen) {
            return ServerAction{"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Try-Id: " + seen.id +
                                    "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
                                ServerAction::Then::close};
        };
        const Reply reply = client.ask(get("/d/a", "t"));
        CHECK(reply.closed);
        CHECK_FALSE(reply.whole);
    }
}

TEST_CASE("A small chunked answer is buffered and forwarded with Content-Length", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    server.script = [&](const ReceivedRequest& seen) {
        return ServerAction{"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Try-Id: " + seen.id +
                            "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"};
    };
    Client client(world);
    const Reply reply = client.ask(get("/r/a", "t"));
    CHECK(reply.body == "abcde");
    CHECK(fieldOf(reply.head, "Content-Length") == "5");
    server.script = [&](const ReceivedRequest& seen) {
        return ServerAction{"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Try-Id: " + seen.id +
                            "\r\nContent-Length: 77\r\n\r\n"};
    };
    client.send("HEAD /r/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: h\r\n\r\n");
    const Reply headOnly = client.read(true);
    CHECK(headOnly.status == 200);
    CHECK(fieldOf(headOnly.head, "Content-Length") == "77");
}

TEST_CASE("A request that must not run twice uses a connection verified open", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    const std::string keep =
        GENERATE(as<std::string>{}, "Keep-Alive: timeout=1\r\n", "Connection: close\r\n");
    server.script = [&](const ReceivedRequest& seen) { return ServerAction{good(seen.id, "x", keep)}; };
    world.start();
    Client client(world);
    // The margin uses up the whole second of the first case; the second case closes explicitly.
    for (int k = 0; k < 3; ++k) CHECK(client.ask(post("/w/a", "t")).status == 200);
    CHECK(server.connections == 3);
}

TEST_CASE("A connection closed by the server does not count as an attempt", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    Client client(world);
    REQUIRE(client.ask(post("/w/a", "t")).status == 200);
    server.script = [&](const ReceivedRequest& seen) {
        return ServerAction{good(seen.id), ServerAction::Then::close};
    };
    REQUIRE(client.ask(post("/w/a", "u")).status == 200);
    REQUIRE(client.ask(post("/w/a", "v")).status == 200);
    CHECK(server.seen.size() == 3);
    CHECK(server.connections == 2);
}

TEST_CASE("With an unresponsive server a reading request is retried, a writing one waits for its deadline",
          "[request_forwarder]") {
    TwoServers world([](const ReceivedRequest&) { return ServerAction{}; });
    Client client(world);
    const std::string quick =
        "GET /r/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: t\r\nX-Time-Left: 200\r\n\r\n";
    const Micros from = World::now(), elapsedBefore = world.elapsed;
    CHECK(client.ask(quick).status == 200);
    CHECK(World::now() - from > 100000);
    CHECK(world.elapsed - elapsedBefore < 190000);
    world.met = false;
    const Micros second = World::now();
    CHECK(client
              .ask("POST /w/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: u\r\nX-Time-Left: "
                   "100\r\nContent-Length: 0\r\n\r\n")
              .status == 504);
    CHECK(World::now() - second >= 99000);
    CHECK(world.arrivals() == 3);
}

TEST_CASE("Without capacity a request queues briefly, then is refused in time, by rank",
          "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    std::vector<std::string> order;
    server.script = [&](const ReceivedRequest& seen) {
        order.push_back(seen.id);
        return ServerAction{};
    };
    auto orders = world.batch();
    for (auto& line : *orders.mutable_resources()) {
        if (line.has_server()) line.mutable_server()->set_in_flight_most(1);
    }
    World::route(orders, "/first/", marldale::edge_proxy::proto::RouteResource::WRITING, "s")->set_rank(0);
    World::route(orders, "/last/", marldale::edge_proxy::proto::RouteResource::WRITING, "s")->set_rank(3);
    world.start(orders);
    Client busy(world), last(world), first(world);
    busy.send(post("/w/a", "busy"));
    REQUIRE(world.runUntil([&] { return order.size() == 1; }));
    last.send(post("/last/a", "last"));
    world.turn();
    first.send(post("/first/a", "first"));
    SECTION("no capacity becomes free") {
        const Micros elapsedBefore = world.elapsed;
        for (Client* client : {&last, &first}) {
            const Reply reply = client->read();
            CHECK(reply.status == 503);
            CHECK_FALSE(fieldOf(reply.head, "Retry-After").empty());
        }
        CHECK(world.elapsed - elapsedBefore < 100000);  // a quarter of the target
        CHECK(order.size() == 1);
    }
    SECTION("capacity becomes free") {
        world.turn();
        server.sendLater("busy", good("busy"));
        CHECK(busy.read().status == 200);
        REQUIRE(world.runUntil([&] { return order.size() == 2; }));
        CHECK(order[1] == "first");
        server.sendLater("first", good("first"));
        CHECK(first.read().status == 200);
        REQUIRE(world.runUntil([&] { return order.size() == 3; }));
        CHECK(order[2] == "last");
    }
}

TEST_CASE("After a client disconnects, writing is finished, reading is aborted, queued requests are dropped",
          "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    server.script = [&](const ReceivedRequest&) { return ServerAction{}; };
    auto orders = world.batch();
    for (auto& line : *orders.mutable_resources()) {
        if (line.has_server()) line.mutable_server()->set_in_flight_most(1);
    }
    world.start(orders);
    {
        Client client(world);
        client.send(post("/w/a", "t"));
        REQUIRE(world.runUntil([&] { return server.seen.size() == 1; }));
        Client waiting(world);
        waiting.send(get("/r/a", "w"));
        world.turn();
        waiting.reset();
        client.reset();
        world.turn();
    }
    server.sendLater("t", good("t"));
    world.turn();
    Client client(world);
    client.send(get("/r/a", "u"));
    REQUIRE(world.runUntil([&] { return server.seen.size() == 2; }));
    CHECK(server.seen[1].id == "u");
    CHECK(server.connections == 1);  // the answer was drained and the connection reused
    client.reset();
    world.turn();
    server.script = [](const ReceivedRequest& seen) { return ServerAction{good(seen.id)}; };
    Client next(world);
    CHECK(next.ask(get("/r/a", "v")).status == 200);
    CHECK(server.connections == 2);
}

TEST_CASE("A server removed while the proxy connects to it gets nothing", "[request_forwarder]") {
    World world;
    FakeServer& one = world.server("i-1");
    world.start();
    Client client(world);
    client.send(post("/w/a", "t"));
    // The request is read and the connect started in the next turn; the entry is removed before the connect's
    // result is handled.
    FakeServer& other = world.server("i-2");
    bool changed = false;
    world.runUntil([&] {
        if (one.connections == 1 && !changed) {
            changed = true;
            marldale::edge_proxy::proto::ResourceBatch orders;
            orders.add_resources()->set_server_drop("i-1");
            World::serverLine(orders, other);
            world.apply(orders);
        }
        return changed;
    });
    world.loop.poll();
    const Reply reply = client.read();
    CHECK(reply.status == 200);
    CHECK(one.seen.size() + other.seen.size() == 1);
    CHECK(client.ask(post("/w/a", "u")).status == 200);
    CHECK(other.seen.size() >= 1);
}

TEST_CASE("After SIGTERM the proxy serves, finishes pending requests, and ends", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.settings.grace = GENERATE(700000, 1500000);
    const bool fast = world.settings.grace < 1000000;
    bool answers = true;
    server.script = [&](const ReceivedRequest& seen) {
        return answers ? ServerAction{good(seen.id)} : ServerAction{};
    };
    world.start();
    Client platform(world, world.forwarder->readinessPort());
    Client idle(world), busy(world);
    CHECK(idle.ask(get("/r/a", "i")).status == 200);
    answers = false;
    busy.send(post("/w/a", "b"));
    REQUIRE(world.runUntil([&] { return server.seen.size() == 2; }));
    bool done = false;
    const Micros from = World::now(), elapsedBefore = world.elapsed;
    world.forwarder->terminate([&] { done = true; });
    CHECK(platform.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 503);
    answers = true;
    Client late(world);
    const Reply reply = late.ask(get("/r/a", "l"));
    CHECK(reply.status == 200);
    CHECK(fieldOf(reply.head, "Connection") == "close");
    CHECK(late.waitClosed());
    CHECK(idle.ask(get("/r/a", "i")).status == 200);
    CHECK(idle.waitClosed());
    if (fast) {
        // The proxy must end although a server is still working.
        REQUIRE(world.runUntil([&] { return done; }));
        CHECK(world.elapsed - elapsedBefore < 600000);
        return;
    }
    CHECK_FALSE(done);
    server.sendLater("b", good("b"));
    CHECK(busy.read().status == 200);
    CHECK_FALSE(done);  // the platform may not have polled readiness yet
    REQUIRE(world.runUntil([&] { return done; }));
    CHECK(World::now() - from > 500000);
    CHECK(world.elapsed - elapsedBefore < 1100000);
}

TEST_CASE("A request queued for a retry when the process ends is answered, not cut", "[request_forwarder]") {
    constexpr Micros kLongTarget = 8000000, kGiveUp = 4000000;  // so that it may queue until after the end
    World world;
    world.settings.grace = 700000;
    const auto holdOrReset = [](const ReceivedRequest& seen) {
        return ServerAction{"", seen.id == "held" ? ServerAction::Then::nothing : ServerAction::Then::reset};
    };
    for (const char* id : {"i-1", "i-2"}) world.server(id).script = holdOrReset;
    proto::ResourceBatch orders = world.batch();
    World::route(orders, "/q/", proto::RouteResource::READ_ONLY, "s", 2, kLongTarget, kGiveUp);
    for (auto& line : *orders.mutable_resources()) {
        if (line.has_server()) line.mutable_server()->set_in_flight_most(1);
    }
    world.start(orders);
    Client holder(world), waiting(world);
    const auto arrivals = [&] { return world.servers[0]->seen.size() + world.servers[1]->seen.size(); };
    holder.send(get("/q/a", "held"));
    REQUIRE(world.runUntil([&] { return arrivals() == 1; }));
    waiting.send(get("/q/a", "reset"));
    REQUIRE(world.runUntil([&] { return arrivals() == 2; }));
    bool done = false;
    world.forwarder->terminate([&] {
        done = true;
        asio::post(world.loop, [&] { world.forwarder.reset(); });
    });
    const Reply reply = waiting.read();
    CHECK(reply.status == 502);
    CHECK(fieldOf(reply.head, "Connection") == "close");
    REQUIRE(world.runUntil([&] { return done; }));
}

TEST_CASE("Counters are reported to the planner", "[request_forwarder]") {
    TwoServers world([](const ReceivedRequest&) { return ServerAction{"", ServerAction::Then::reset}; });
    Client client(world);
    CHECK(client.ask(get("/r/a", "t")).status == 200);
    CHECK(client.ask(post("/w/a", "u")).status == 200);
    const auto sums = world.forwarder->takeLoadReport(World::now());
    CHECK(sums.period() > 0);
    unsigned tries = 0, failed = 0;
    for (const auto& server : sums.servers()) {
        tries += server.tries();
        failed += server.failed();
    }
    CHECK(tries == 3);
    CHECK(failed == 1);
    REQUIRE(sums.demands_size() == 2);
    CHECK(sums.demands(0).came() + sums.demands(1).came() == 2);
}

TEST_CASE("Expect, HTTP/1.0 and Connection: close", "[request_forwarder]") {
    World world;
    FakeServer& server = world.server("i-1");
    world.start();
    {
        Client client(world);
        client.send(
            "POST /w/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: t\r\nExpect: 100-Continue\r\nContent-Length: "
            "3\r\n\r\n");
        CHECK(client.read(true).status == 100);
        CHECK(client.ask("b=1").status == 200);
        CHECK(fieldOf(server.seen.back().text, "Expect").empty());
    }
    {
        Client client(world);
        const Reply reply = client.ask("GET /r/a HTTP/1.0\r\nHost: a.example\r\nX-Try-Id: u\r\n\r\n");
        CHECK(reply.status == 200);
        CHECK(client.waitClosed());
        CHECK(server.seen.back().text.find("GET /r/a HTTP/1.1\r\n") == 0);
    }
    {
        Client client(world);
        for (int k = 0; k < 2; ++k) {
            const Reply reply = client.ask(
                "GET /r/a HTTP/1.0\r\nHost: a.example\r\nX-Try-Id: u\r\nConnection: Keep-Alive\r\n\r\n");
            CHECK(fieldOf(reply.head, "Connection") == "keep-alive");
        }
    }
    {
        Client client(world);
        const Reply reply = client.ask(get("/r/a", "v", "Connection: close\r\n"));
        CHECK(fieldOf(reply.head, "Connection") == "close");
        CHECK(client.waitClosed());
    }
    {
        // Listing framing fields or the proxy's own fields in Connection does not drop them.
        Client client(world);
        CHECK(
            client
                .ask(get("/r/a", "w", "Connection: X-Try-Id, Host, X-Time-Left\r\nX-Meant-Server: evil\r\n"))
                .status == 200);
        CHECK(server.seen.back().id == "w");
        CHECK(server.seen.back().meant == "i-1");
        CHECK(server.seen.back().text.find("evil") == std::string::npos);
        CHECK(fieldOf(server.seen.back().text, "Host") == "a.example");
    }
}

TEST_CASE("A storm of random faults: every request gets one answer that states correctly whether it ran",
          "[request_forwarder]") {
    World world;
    marldale::upstream::Draw draw(GENERATE(range(1, 4)));
    std::map<std::string, int> ran;  // by id
    std::map<std::string, int> arrived;
    for (int k = 0; k < 4; ++k) {
        FakeServer& server = world.server("i-" + std::to_string(k));
        server.script = [&](const ReceivedRequest& seen) {
            ++arrived[seen.id];
            const auto drawn = draw.next() % 16;
            if (drawn == 0) return refusal(seen);
            if (drawn == 1)
                return ServerAction{"HTTP/1.1 421 M\r\nX-Try-Id: " + seen.id +
                                    "\r\nContent-Length: 0\r\n\r\n"};
            ++ran[seen.id];
            const std::string whole = good(seen.id, seen.id + std::string(draw.next() % 600, 'x'));
            switch (drawn) {
                case 2:
                    return ServerAction{whole.substr(0, draw.next() % whole.size()),
                                        ServerAction::Then::close};
                case 3:
                    return ServerAction{whole.substr(0, draw.next() % whole.size()),
                                        ServerAction::Then::reset};
                case 4: return ServerAction{whole + good("late")};
                case 5: return ServerAction{good("late")};
                case 6: return ServerAction{"", ServerAction::Then::close};
                case 7:
                    return ServerAction{"HTTP/1.1 500 O\r\nX-Try-Id: " + seen.id +
                                        "\r\nContent-Length: 0\r\n\r\n"};
                case 8: return ServerAction{whole, ServerAction::Then::close};
                default: return ServerAction{whole};
            }
        };
    }
    world.start();
    unsigned answered = 0, served = 0;
    std::vector<std::unique_ptr<Client>> clients;
    for (int k = 0; k < 8; ++k) clients.push_back(std::make_unique<Client>(world));
    for (int round = 0; round < 40; ++round) {
        std::vector<std::string> ids;
        for (std::size_t k = 0; k < clients.size(); ++k) {
            ids.push_back((k % 2 == 0 ? "w" : "r") + std::to_string(round) + "." + std::to_string(k));
            clients[k]->send(k % 2 == 0 ? post("/w/a", ids[k]) : get("/r/a", ids[k]));
        }
        for (std::size_t k = 0; k < clients.size(); ++k) {
            const Reply reply = clients[k]->read();
            INFO(ids[k] << " closed " << reply.closed << " status " << reply.status << " rest "
                        << clients[k]->rest());
            REQUIRE(reply.whole);
            ++answered;
            if (reply.status == 200) {
                ++served;
                REQUIRE(fieldOf(reply.head, "X-Try-Id") == ids[k]);
                REQUIRE(fieldOf(reply.head, "X-Server-Seal") == "s." + ids[k]);
                REQUIRE(reply.body.starts_with(ids[k]));
            }
            if (k % 2 != 0) continue;
            REQUIRE(ran[ids[k]] <= 1);
            if (reply.status == 503) REQUIRE(ran[ids[k]] == 0);
            if (reply.status == 200) REQUIRE(ran[ids[k]] == 1);
        }
        for (const auto& [id, count] : arrived) REQUIRE(count <= 2);
        // The planner lists the replaced servers again.
        marldale::edge_proxy::proto::ResourceBatch again;
        for (const auto& server : world.servers) World::serverLine(again, *server);
        world.apply(again);
    }
    CHECK(answered == 320);
    CHECK(served > 180);
}

TEST_CASE("A server that accepts no connections is abandoned soon and skipped for a while",
          "[request_forwarder]") {
    World world;
    FakeServer& other = world.server("i-2");
    // Its accept queue is full and nobody accepts, so connection attempts are dropped as in a network
    // partition.
    tcp::acceptor dark(world.loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    dark.listen(0);
    std::vector<std::unique_ptr<tcp::socket>> fill;
    for (int k = 0; k < 4; ++k) {
        fill.push_back(std::make_unique<tcp::socket>(world.loop));
        fill.back()->async_connect(dark.local_endpoint(), [](const auto&) {});
    }
    world.turn();
    auto orders = world.batch();
    auto* line = World::serverLine(orders, other);
    line->set_id("i-1");
    line->set_address("127.0.0.1:" + std::to_string(dark.local_endpoint().port()));
    world.start(orders);
    Client client(world);
    Micros longest = 0;
    int slow = 0;
    for (int k = 0; k < 20; ++k) {
        const Micros elapsedBefore = world.elapsed;
        REQUIRE(client.ask(post("/w/a", "t")).status == 200);
        const Micros took = world.elapsed - elapsedBefore;
        longest = std::max(longest, took);
        if (took > 100000) ++slow;
    }
    CHECK(longest > 200000);
    CHECK(longest < 500000);
    CHECK(slow == 1);
    CHECK(other.seen.size() == 20);
}

TEST_CASE("At its descriptor limit the proxy accepts no more connections and serves the existing ones",
          "[request_forwarder]") {
    World world;
    world.server("i-1");
    world.settings.openFiles = 20;  // half are for sockets, 0.6 of them for clients
    world.start();
    std::vector<std::unique_ptr<Client>> clients;
    for (int k = 0; k < 6; ++k) {
        clients.push_back(std::make_unique<Client>(world));
        CHECK(clients.back()->ask(get("/r/a", "t")).status == 200);
    }
    Client more(world);
    CHECK(more.waitClosed());
    for (const auto& client : clients) CHECK(client->ask(get("/r/a", "t")).status == 200);
    clients.front()->close();
    world.turn();
    Client again(world);
    CHECK(again.ask(get("/r/a", "t")).status == 200);
}

TEST_CASE("After a failed attempt a request queues for capacity once more", "[request_forwarder]") {
    World world;
    FakeServer& one = world.server("i-1");
    FakeServer& other = world.server("i-2");
    auto orders = world.batch();
    for (auto& line : *orders.mutable_resources()) {
        if (line.has_server()) line.mutable_server()->set_in_flight_most(1);
    }
    one.script = other.script = [](const ReceivedRequest&) { return ServerAction{}; };
    world.start(orders);
    Client first(world), second(world);
    first.send(get("/r/a", "a"));
    second.send(get("/r/a", "b"));
    REQUIRE(world.runUntil([&] { return one.seen.size() == 1 && other.seen.size() == 1; }));
    // After a quarter of the target time one server fails while the other is busy.
    const Micros from = World::now();
    world.runUntil([&] { return World::now() - from > 110000; });
    one.sendLater(one.seen[0].id, "nonsense\r\n\r\n");
    world.turn(20);
    other.script = [](const ReceivedRequest& seen) { return ServerAction{good(seen.id)}; };
    other.sendLater(other.seen[0].id, good(other.seen[0].id));
    CHECK(first.read().status == 200);
    CHECK(second.read().status == 200);
    CHECK(other.seen.size() == 2);
}
