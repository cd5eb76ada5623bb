#include "gateway/live_edge_proxy.h"

#include <utility>  // Boost 1.74 forgets it

#include <pthread.h>

#include <boost/asio.hpp>
#include <memory>
#include <stdexcept>
#include <thread>

#include "gateway/edge_proxy/request_forwarder.h"
#include "gateway/gauge.h"

namespace marldale::capacity {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string fieldOf(const std::string& head, const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

// Answers every request at once with 400 bytes, each connection on a thread of its own.
class HollowServer {
public:
    HollowServer()
        : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          port_(acceptor_.local_endpoint().port()) {
        thread_ = std::thread([this] {
            for (;;) {
                auto socket = std::make_shared<tcp::socket>(io_);
                boost::system::error_code wrong;
                acceptor_.accept(*socket, wrong);
                if (wrong || ending_) return;
                threads_.emplace_back([socket] { serve(*socket); });
            }
        });
    }
    // Connections must have ended before.
    ~HollowServer() {
        ending_ = true;
        tcp::socket last(io_);
        boost::system::error_code ignored;
        last.connect({asio::ip::address_v4::loopback(), port_}, ignored);
        thread_.join();
        for (std::thread& thread : threads_) thread.join();
    }
    HollowServer(const HollowServer&) = delete;
    HollowServer& operator=(const HollowServer&) = delete;
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    static void serve(tcp::socket& socket) {
        boost::system::error_code wrong;
        socket.set_option(tcp::no_delay(true), wrong);
        std::string in;
        const std::string body(400, 'b');
        for (;;) {
            const std::size_t head = asio::read_until(socket, asio::dynamic_buffer(in), "\r\n\r\n", wrong);
            if (wrong) return;
            const std::string id = fieldOf(in.substr(0, head), "X-Try-Id");
            in.erase(0, head);
            const std::string out = "HTTP/1.1 200 OK\r\nX-Try-Id: " + id + "\r\nX-Server-Seal: s." + id +
                                    "\r\nContent-Length: 400\r\n\r\n" + body;
            asio::write(socket, asio::buffer(out), wrong);
            if (wrong) return;
        }
    }
    asio::io_context io_;
    tcp::acceptor acceptor_;
    unsigned short port_;
    std::atomic<bool> ending_{false};
    std::vector<std::thread> threads_;
    std::thread thread_;
};

// Times of requests, in microseconds, sorted.
std::vector<double> ask(unsigned short port, std::size_t routes, int count) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), port});
    socket.set_option(tcp::no_delay(true));
    std::vector<double> out;
    std::string in;
    for (int k = 0; k < count; ++k) {
        const std::size_t route = 3 * (static_cast<std::size_t>(k) * 7919 % (routes / 3));  // read-only ones
        const std::string text = "GET " + pathStart(route) + "x HTTP/1.1\r\nHost: " + hostName(route) +
                                 "\r\nX-Try-Id: t" + std::to_string(k) + "\r\nX-Time-Left: 2000\r\n\r\n";
        const double begun = wallSeconds();
        asio::write(socket, asio::buffer(text));
        in.clear();
        const std::size_t head = asio::read_until(socket, asio::dynamic_buffer(in), "\r\n\r\n");
        const std::size_t whole = head + std::stoul(fieldOf(in.substr(0, head), "Content-Length"));
        if (in.size() < whole)
            asio::read(socket, asio::dynamic_buffer(in), asio::transfer_exactly(whole - in.size()));
        out.push_back(1e6 * (wallSeconds() - begun));
        if (in.compare(0, 12, "HTTP/1.1 200") != 0)
            throw std::runtime_error("a request was not served: " + in.substr(0, head));
    }
    std::sort(out.begin(), out.end());
    return out;
}

}  // namespace

void liveEdgeProxySlopes(std::vector<Slope>& out) {
    constexpr int kRequests = 4000;
    std::vector<Point> processor, added, addedHalf;
    for (const std::size_t routes : {1000U, 4000U, 16000U}) {
        HollowServer server;
        asio::io_context loop{1};
        upstream::Tables tables;
        edge_proxy::ForwarderSettings settings;
        settings.front = settings.readiness = "127.0.0.1:0";
        auto carrier = std::make_unique<edge_proxy::RequestForwarder>(loop, settings, tables);
        if (const auto s = carrier->listen(); !s.ok()) throw std::runtime_error(std::string(s.message()));
        proto::ResourceBatch orders;
        orders.set_index(1);
        orders.set_fresh(true);
        orders.set_servers_whole(true);
        for (std::size_t k = 0; k < routes; ++k) *orders.add_resources()->mutable_route() = routeLine(k, 50);
        for (std::size_t k = 0; k < 50; ++k) {
            auto* line = orders.add_resources()->mutable_server();
            *line = serverLine(k, 50);
            line->set_address(server.address());
        }
        if (!tables.apply(orders, 1)) throw std::runtime_error("the tables were not taken");
        carrier->tablesChanged();
        std::thread thread([&] { loop.run(); });
        clockid_t clock{};
        pthread_getcpuclockid(thread.native_handle(), &clock);
        const auto port = static_cast<unsigned short>(std::stoi(server.address().substr(10)));
        (void)ask(carrier->frontPort(), routes, 500);
        const std::vector<double> direct = ask(port, routes, kRequests);
        const double begun = secondsOf(clock);
        const std::vector<double> through = ask(carrier->frontPort(), routes, kRequests);
        processor.push_back({static_cast<double>(routes), 1e6 * (secondsOf(clock) - begun) / kRequests});
        const auto at = [](const std::vector<double>& times, double part) {
            return times[static_cast<std::size_t>(part * static_cast<double>(times.size()))];
        };
        added.push_back({static_cast<double>(routes), at(through, 0.99) - at(direct, 0.99)});
        addedHalf.push_back({static_cast<double>(routes), at(through, 0.5) - at(direct, 0.5)});
        loop.stop();
        thread.join();
        carrier.reset();
    }
    out.push_back({"live: processor time of a request by routes", "routes", "us", processor, fit(processor)});
    out.push_back(
        {"live: time added at p50, an idle proxy, by routes", "routes", "us", addedHalf, fit(addedHalf)});
    out.push_back({"live: time added at p99, an idle proxy, by routes", "routes", "us", added, fit(added)});
}

}  // namespace marldale::capacity
