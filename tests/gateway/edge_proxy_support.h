// Test support: a request forwarder on loopback, scripted servers and clients, all on one loop.
#pragma once

#include <utility>  // missing in Asio of Boost 1.74

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/edge_proxy/request_forwarder.h"

namespace marldale::edge_proxy {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A request as a server received it.
struct ReceivedRequest {
    std::string text;  // head and body as received
    std::string id, meant;
    unsigned onConnection = 0;  // earlier requests on this connection
};

// A server's reaction to a request.
struct ServerAction {
    std::string bytes;
    enum class Then { keep, close, reset, nothing } then = Then::keep;
};

inline std::string fieldOf(const std::string& head, const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

inline std::string good(const std::string& id, const std::string& body = "hello",
                        const std::string& more = {}) {
    return "HTTP/1.1 200 OK\r\nX-Try-Id: " + id + "\r\nX-Server-Seal: s." + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server whose reactions a script decides.
class FakeServer {
public:
    FakeServer(asio::io_context& loop, std::string id)
        : id(std::move(id)), acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        accept();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::function<ServerAction(const ReceivedRequest&)> script = [](const ReceivedRequest& seen) {
        return ServerAction{good(seen.id)};
    };
    std::vector<ReceivedRequest> seen;
    unsigned connections = 0;
    const std::string id;
    // Sends more bytes on the connection that the request arrived on.
    void sendLater(const std::string& id, const std::string& bytes) {
        boost::system::error_code error;
        if (const auto one = connectionOf_[id].lock()) asio::write(one->socket, asio::buffer(bytes), error);
    }
    void stopListening() {
        boost::system::error_code error;
        acceptor_.close(error);
    }

private:
    struct Session : std::enable_shared_from_this<Session> {
        Session(FakeServer& of, tcp::socket&& from) : server(of), socket(std::move(from)) {}
        void read() {
            socket.async_read_some(asio::buffer(buffer),
                                   [self = shared_from_this()](const auto& error, std::size_t n) {
                                       if (error) return;
                                       self->in.append(self->buffer.data(), n);
                                       self->processRequests();
                                       self->read();
                                   });
        }
        void processRequests() {
            for (;;) {
                const std::size_t head = in.find("\r\n\r\n");
                if (head == std::string::npos) return;
                const std::string length = fieldOf(in.substr(0, head + 2), "Content-Length");
                const std::size_t whole = head + 4 + (length.empty() ? 0 : std::stoul(length));
                if (in.size() < whole) return;
                ReceivedRequest seen{in.substr(0, whole), fieldOf(in.substr(0, head + 2), "X-Try-Id"),
                                     fieldOf(in.substr(0, head + 2), "X-Meant-Server"), requests++};
                in.erase(0, whole);
                server.seen.push_back(seen);
                server.connectionOf_[seen.id] = weak_from_this();
                const ServerAction does = server.script(seen);
                boost::system::error_code error;
                socket.non_blocking(false, error);
                asio::write(socket, asio::buffer(does.bytes), error);
                if (does.then == ServerAction::Then::close) socket.close(error);
                if (does.then == ServerAction::Then::reset) {
                    socket.set_option(asio::socket_base::linger(true, 0), error);
                    socket.close(error);
                }
            }
        }
        FakeServer& server;
        tcp::socket socket;
        std::array<char, 65536> buffer{};
        std::string in;
        unsigned requests = 0;
    };
    void accept() {
        acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
            if (error) return;
            ++connections;
            std::make_shared<Session>(*this, std::move(socket))->read();
            accept();
        });
    }
    tcp::acceptor acceptor_;
    std::map<std::string, std::weak_ptr<Session>> connectionOf_;
};

// What a client received for a request.
struct Reply {
    unsigned status = 0;  // 0: no answer
    std::string head, body;
    bool whole = false;
    bool closed = false;
};

// Removes the first complete answer from a client's input; empty if it is incomplete.
inline std::optional<Reply> takeReply(std::string& in, bool headOnly = false) {
    const std::size_t head = in.find("\r\n\r\n");
    if (head == std::string::npos) return std::nullopt;
    Reply reply;
    reply.head = in.substr(0, head + 2);
    std::size_t end = 0;
    if (fieldOf(reply.head, "Transfer-Encoding") == "chunked") {
        std::size_t at = head + 4;
        for (;;) {
            const std::size_t line = in.find("\r\n", at);
            if (line == std::string::npos) return std::nullopt;
            const std::size_t size = std::stoul(in.substr(at, line - at), nullptr, 16);
            if (in.size() < line + 2 + size + 2) return std::nullopt;
            reply.body.append(in, line + 2, size);
            at = line + 2 + size + 2;
            if (size == 0) break;
        }
        end = at;
    } else {
        const std::string length = fieldOf(reply.head, "Content-Length");
        const std::size_t size = headOnly || length.empty() ? 0 : std::stoul(length);
        end = head + 4 + size;
        if (in.size() < end) return std::nullopt;
        reply.body = in.substr(head + 4, size);
    }
    reply.status = static_cast<unsigned>(std::stoul(reply.head.substr(9, 3)));
    reply.whole = true;
    in.erase(0, end);
    return reply;
}

// The forwarder with its servers and tables.
struct World {
    asio::io_context loop{1};
    upstream::Tables tables;
    ForwarderSettings settings;
    std::unique_ptr<RequestForwarder> forwarder;
    std::vector<std::unique_ptr<FakeServer>> servers;
    Micros elapsed = 0;  // in `runUntil`, without pauses of the process

    World() {
        settings.front = settings.readiness = "127.0.0.1:0";
        settings.extraTries = 4000;
    }
    FakeServer& server(const std::string& id) {
        servers.push_back(std::make_unique<FakeServer>(loop, id));
        return *servers.back();
    }
    static Micros now() {
        return std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }
    static proto::RouteResource* route(proto::ResourceBatch& orders, const std::string& start,
                                       proto::RouteResource::Kind kind, const std::string& service,
                                       unsigned tries = 2, Micros target = 400000, Micros giveUp = 2000000) {
        auto* line = orders.add_resources()->mutable_route();
        line->set_name("r");
        line->set_host_name("a.example");
        line->set_path_start(start);
        line->set_kind(kind);
        line->set_target(target);
        line->set_give_up(giveUp);
        line->set_tries(tries);
        auto* share = line->add_shares();
        share->set_service(service);
        share->set_share(1);
        return line;
    }
    // Routes /r/ (read-only), /w/ (writing) and /d/ (downloads) to the service "s", with all servers.
    proto::ResourceBatch batch() {
        proto::ResourceBatch orders;
        orders.set_index(1);
        orders.set_fresh(true);
        orders.set_servers_whole(true);
        route(orders, "/r/", proto::RouteResource::READ_ONLY, "s");
        route(orders, "/w/", proto::RouteResource::WRITING, "s");
        route(orders, "/d/", proto::RouteResource::FETCH_DOWN, "s");
        auto* limits = orders.add_resources()->mutable_limits();
        limits->set_max_header_bytes(4096);
        limits->set_max_body_bytes(8 << 20);
        limits->set_header_wait(200000);
        limits->set_quiet(600000000);
        for (const auto& one : servers) serverLine(orders, *one);
        return orders;
    }
    static proto::ServerResource* serverLine(proto::ResourceBatch& orders, const FakeServer& one) {
        auto* line = orders.add_resources()->mutable_server();
        line->set_id(one.id);
        line->set_service("s");
        line->set_address(one.address());
        line->set_zone("z");
        return line;
    }
    void start() { start(batch()); }
    void start(const proto::ResourceBatch& orders) {
        forwarder = std::make_unique<RequestForwarder>(loop, settings, tables);
        REQUIRE(forwarder->listen().ok());
        REQUIRE(tables.apply(orders, now()));
        forwarder->tablesChanged();
    }
    void apply(const proto::ResourceBatch& orders) {
        REQUIRE(tables.apply(orders, now()));
        forwarder->tablesChanged();
    }
    // Runs the loop until the condition holds; false after `most` milliseconds. The process may be paused
    // (builds are, while a benchmark runs), so each turn counts for at most `kMaxTurnTime`.
    bool runUntil(const std::function<bool()>& holds, int most = 5000) {
        constexpr Micros kMaxTurnTime = 20000;
        Micros left = most * Micros{1000};
        while (!holds()) {
            if (left <= 0) return false;
            const Micros from = now();
            loop.restart();
            loop.run_for(std::chrono::milliseconds(1));
            const Micros took = std::min(now() - from, kMaxTurnTime);
            left -= took;
            elapsed += took;
        }
        return true;
    }
    void turn(int milliseconds = 3) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(milliseconds));
    }
};

// A client connection to the forwarder.
class Client {
public:
    explicit Client(World& world) : Client(world, world.forwarder->frontPort()) {}
    Client(World& world, unsigned short port) : world_(world), socket_(own_) {
        socket_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
        socket_.non_blocking(true);
    }
    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    // Reads the next answer, or the part received before the connection ends.
    Reply read(bool headOnly = false, int most = 5000) {
        Reply reply;
        world_.runUntil([&] { return take(reply, headOnly) || closed_; }, most);
        reply.closed = closed_;
        if (!reply.whole) {
            const std::size_t head = in_.find("\r\n\r\n");
            if (head != std::string::npos) {
                reply.head = in_.substr(0, head + 2);
                reply.status = static_cast<unsigned>(std::stoul(in_.substr(9, 3)));
                reply.body = in_.substr(head + 4);
            }
        }
        return reply;
    }
    Reply ask(const std::string& bytes) {
        send(bytes);
        return read();
    }
    bool waitClosed(int most = 3000) {
        return world_.runUntil(
            [&] {
                pull();
                return closed_;
            },
            most);
    }
    void close() { socket_.close(); }
    void reset() {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }
    std::string rest() { return in_; }
    void slow(bool is) { slow_ = is; }

private:
    void pull() {
        if (slow_) return;
        std::array<char, 65536> buffer{};
        boost::system::error_code error;
        for (;;) {
            const std::size_t n = socket_.read_some(asio::buffer(buffer), error);
            if (error == asio::error::would_block) return;
            if (error) {
                closed_ = true;
                return;
            }
            in_.append(buffer.data(), n);
        }
    }
    bool take(Reply& reply, bool headOnly) {
        pull();
        auto next = takeReply(in_, headOnly);
        if (!next) return false;
        reply = std::move(*next);
        return true;
    }
    World& world_;
    asio::io_context own_;
    tcp::socket socket_;
    std::string in_;
    bool closed_ = false, slow_ = false;
};

inline std::string get(const std::string& path, const std::string& id, const std::string& more = {}) {
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: " + id + "\r\nX-Time-Left: 2000\r\n" +
           more + "\r\n";
}
inline std::string post(const std::string& path, const std::string& id, const std::string& body = "b=1") {
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: " + id +
           "\r\nX-Time-Left: 2000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace marldale::edge_proxy
