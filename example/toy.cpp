// A toy platform to try the planner with by hand: discovery, the relay and a few proxies in one program, told
// what to do on standard input. It carries no requests and measures nothing; it shows what the planner
// orders.
#include <event2/event.h>

#include <cstdio>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <set>
#include <sstream>

#include "protocol/lines.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace {

using marldale::protocol::LineReader;
using marldale::transport::Connection;
using marldale::transport::Ended;
using marldale::transport::Listener;
using marldale::transport::Loop;
using marldale::transport::Millis;
using marldale::transport::Timer;

constexpr std::size_t kLineMost = 1U << 20U;

// Listens on a port and on the one after it, so that a planner can be sent from one address to another, and
// hands on lines.
class Lines {
public:
    struct Client {
        std::unique_ptr<Connection> connection;
        LineReader reader{kLineMost};
        bool watches = false;
        void say(const std::string& text) const { connection->write(text); }
    };

    Lines(Loop& loop, std::uint16_t port, std::function<void(Client&, std::string_view)> line)
        : loop_(loop),
          line_(std::move(line)),
          first_(loop, {"127.0.0.1", port}, [this](int fd) { accept(fd); }),
          second_(loop, {"127.0.0.1", static_cast<std::uint16_t>(port + 1)}, [this](int fd) { accept(fd); }) {
    }

    void tellWatchers(const std::string& text) {
        for (Client& client : clients_) {
            if (client.watches) client.say(text);
        }
    }

private:
    void accept(int fd) {
        const auto client = clients_.emplace(clients_.end());
        Connection::Handlers handlers;
        handlers.received = [this, client](std::string_view bytes) {
            (void)client->reader.feed(bytes, [&](std::string_view text) {
                line_(*client, text);
                return true;
            });
        };
        handlers.ended = [this, client](Ended) {
            loop_.bury(std::move(client->connection));
            clients_.erase(client);
        };
        client->connection = std::make_unique<Connection>(loop_, fd, kLineMost, std::move(handlers));
    }

    Loop& loop_;
    std::function<void(Client&, std::string_view)> line_;
    std::list<Client> clients_;
    Listener first_, second_;
};

class Discovery {
public:
    explicit Discovery(Loop& loop)
        : lines_(loop, 8500, [this](Lines::Client& c, std::string_view l) { request(c, l); }),
          alive_(loop, [this] { quiet(); }) {
        quiet();
    }

    void set(const std::string& uid, const std::string& state) {
        states_[uid] = state;
        ++rev_;
        lines_.tellWatchers(chunk(list(false, {uid})));
        if (state == "gone") states_.erase(uid);
    }

private:
    static std::string chunk(const std::string& text) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }
    // Servers whose names end in an odd digit stand in zone a, the others in b.
    [[nodiscard]] std::string list(bool all, const std::set<std::string>& only) const {
        std::string out = "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (all ? "true" : "false");
        out += ",\"targets\":[";
        bool first = true;
        for (const auto& [uid, state] : states_) {
            if (!all && only.count(uid) == 0) continue;
            const char* zone = (uid.back() - '0') % 2 != 0 ? "a" : "b";
            if (!first) out += ',';
            first = false;
            out.append(R"({"uid":")").append(uid);
            out.append(R"(","endpoint":"127.0.0.1:9","az":")").append(zone);
            out.append(R"(","model":"m1","pod_group":1,"state":")").append(state);
            out.append(R"(","capacity_hint":1.0,"boot_ms":0})");
        }
        return out + "]}\n";
    }
    void request(Lines::Client& client, std::string_view line) {
        if (!line.starts_with("GET ")) return;  // headers
        const std::string body = list(true, {});
        if (line.find("watch=1") == std::string_view::npos) {
            return client.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body);
        }
        client.watches = true;
        client.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body));
    }
    void quiet() {
        lines_.tellWatchers(chunk("\n"));
        alive_.after(Millis{2000});
    }

    std::map<std::string, std::string> states_{{"s-1", "ready"}, {"s-2", "ready"}, {"s-3", "ready"}};
    int rev_ = 2;
    Lines lines_;
    Timer alive_;
};

class Relay {
public:
    explicit Relay(Loop& loop)
        : lines_(loop, 6400, [this](Lines::Client& c, std::string_view l) { line(c, l); }),
          alive_(loop, [this] { quiet(); }) {
        quiet();
    }

    void join(const std::string& proxy, const std::string& zone) {
        zones_[proxy] = zone;
        lines_.tellWatchers(hello(proxy, zone, true));
    }
    void leave(const std::string& proxy) {
        if (zones_.erase(proxy) > 0) lines_.tellWatchers("* bye " + proxy + "\r\n");
    }

private:
    static std::string hello(const std::string& proxy, const std::string& zone, bool fresh) {
        return "* hello " + proxy + ' ' + zone + (fresh ? " 10.0 1\r\n" : " 10.0 0\r\n");
    }
    void line(Lines::Client& client, std::string_view text) {
        if (text == "WATCH") {
            client.watches = true;
            client.say("OK\r\n");
            for (const auto& [proxy, zone] : zones_) client.say(hello(proxy, zone, false));
        } else if (text.starts_with("APPLY ")) {
            apply(client, std::string(text.substr(6)));
        } else {
            client.say("SYNTAX\r\n");
        }
    }
    void apply(const Lines::Client& client, const std::string& orders) {
        std::istringstream in(orders);
        std::string order, mark;
        int taken = 0;
        for (; std::getline(in, order, ';'); ++taken) {
            std::printf("  %s\n", order.c_str());
            if (order.starts_with("mark,")) mark = order.substr(5, order.rfind(',') - 5);
        }
        std::printf("  -- %d orders\n", taken);
        std::fflush(stdout);
        client.say("OK " + std::to_string(taken) + "\r\n");
        if (mark.empty()) return;
        for (const auto& [proxy, zone] : zones_) {
            std::string ack = "* ack ";
            lines_.tellWatchers(ack.append(proxy).append(" ").append(mark).append(" 1.0\r\n"));
        }
    }
    void quiet() {
        lines_.tellWatchers("*\r\n");
        alive_.after(Millis{1000});
    }

    std::map<std::string, std::string> zones_;
    Lines lines_;
    Timer alive_;
};

// join PROXY ZONE, leave PROXY; ready SERVER, draining SERVER, gone SERVER; the end of the input ends the
// toy.
class Console {
public:
    Console(Loop& loop, Discovery& discovery, Relay& relay)
        : loop_(loop),
          discovery_(discovery),
          relay_(relay),
          event_(event_new(loop.base(), 0, EV_READ | EV_PERSIST, ready, this)) {
        event_add(event_, nullptr);
    }
    ~Console() { event_free(event_); }
    Console(const Console&) = delete;
    Console& operator=(const Console&) = delete;

private:
    static void ready(int, short, void* self) { static_cast<Console*>(self)->read(); }
    void read() {
        std::string line;
        if (!std::getline(std::cin, line)) return loop_.stop();
        std::istringstream in(line);
        std::string verb, name, zone;
        in >> verb >> name >> zone;
        if (verb == "join" && !zone.empty()) {
            relay_.join(name, zone);
        } else if (verb == "leave") {
            relay_.leave(name);
        } else if (!name.empty() && (verb == "ready" || verb == "draining" || verb == "gone")) {
            discovery_.set(name, verb);
        } else {
            std::puts("join PROXY ZONE | leave PROXY | ready SERVER | draining SERVER | gone SERVER");
        }
    }

    Loop& loop_;
    Discovery& discovery_;
    Relay& relay_;
    event* event_;
};

}  // namespace

int main() {
    std::cin.rdbuf()->pubsetbuf(nullptr, 0);
    try {
        Loop loop;
        Discovery discovery(loop);
        Relay relay(loop);
        const Console console(loop, discovery, relay);
        std::puts(
            "discovery on 127.0.0.1:8500 and 8501, relay on 6400 and 6401; servers s-1 and s-3 in zone a, "
            "s-2 in b");
        std::fflush(stdout);
        loop.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "toy: %s\n", e.what());
        return 1;
    }
    return 0;
}
