// A planner with its gRPC front, and plain blocking peers of it, for tests.
#pragma once

#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "grpc/server.h"
#include "routing/planner_thread.h"
#include "support/sockets.h"
#include "support/watch.h"

namespace marldale::tests {

inline routing::FrontSettings plainFront() {
    routing::FrontSettings out;
    out.listen = "127.0.0.1:0";
    // No verdict hangs on how busy the machine is; tests of these limits set their own.
    out.keepaliveMs = out.helloWithinMs = 60000;
    return out;
}

// The module's thread with a gRPC front and no platform: calls are settled at once.
class GrpcPlanner {
public:
    explicit GrpcPlanner(const protocol::Config& config,
                         const routing::FrontSettings& settings = plainFront(),
                         routing::PeerEar* ear = nullptr)
        : config_(config) {
        routing::PlannerThread::Outlets outlets;
        outlets.call = [this](const routing::OrderCall& call) {
            watch.change([&] { calls.insert(calls.end(), call.orders.begin(), call.orders.end()); });
            thread->callEnded();
        };
        outlets.probe = [](ServerId, const std::string&) {};
        outlets.fetchList = [] {};
        outlets.startedOver = [] {};
        outlets.front = [this](std::vector<routing::FrontCommand> commands) {
            const auto sent = std::count_if(commands.begin(), commands.end(), [](const auto& c) {
                return std::holds_alternative<dispatch::SendBatch>(c);
            });
            watch.look([&] { return server.get(); })->carryOut(std::move(commands));
            watch.change([&] { batches += static_cast<std::size_t>(sent); });
        };
        const auto log = [this](const char* topic, const std::string& text) {
            watch.change([&] { lines.push_back(std::string(topic) + ": " + text); });
        };
        thread = std::make_unique<routing::PlannerThread>(config, outlets, log,
                                                          routing::junctionRules(config, 77));
        routing::FrontHost host;
        host.post = [this](routing::Input input) {
            const bool taken = !refusing && thread->post(input);
            watch.change([&] { taken ? posted.push_back(input) : (void)++refused; });
            return taken;
        };
        host.log = log;
        host.zones = config.zones;
        host.classes = config.classes;
        host.loadFields = config.settings.loadFields;
        host.proxies = config.settings.proxies;
        host.epoch = 77;
        host.ear = ear;
        host.pace.least = config.settings.reportEvery;
        host.pace.rowsPerS = config.settings.reportsPerS;
        auto made = std::make_unique<grpc_front::Server>(settings, std::move(host));
        watch.change([&] { server = std::move(made); });  // the module's thread may look for it already
    }
    ~GrpcPlanner() {
        server->stop(300);
        thread.reset();  // before the front that it sends commands to
    }

    void list(const std::vector<protocol::CatalogEntry>& entries, bool whole = false) {
        EXPECT_TRUE(thread->post(routing::ListInput{{++rev_, whole, entries, 0}, false}));
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }
    [[nodiscard]] std::shared_ptr<::grpc::Channel> channel() const {
        ::grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection of its own
        return ::grpc::CreateCustomChannel(address(), ::grpc::InsecureChannelCredentials(), arguments);
    }
    template <class T>
    [[nodiscard]] std::size_t count() {
        return watch.look([&] {
            return static_cast<std::size_t>(std::count_if(
                posted.begin(), posted.end(), [](const auto& i) { return std::holds_alternative<T>(i); }));
        });
    }
    template <class T>
    [[nodiscard]] bool await(std::size_t number) {
        return watch.until([&] {
            return static_cast<std::size_t>(std::count_if(posted.begin(), posted.end(), [](const auto& i) {
                       return std::holds_alternative<T>(i);
                   })) >= number;
        });
    }
    // Rows of reports that were taken.
    [[nodiscard]] std::size_t rows() const {
        std::size_t out = 0;
        for (const auto& i : posted) {
            if (const auto* s = std::get_if<routing::SourceRows>(&i)) out += s->rows.size();
        }
        return out;
    }
    [[nodiscard]] bool logged(const std::string& text) {
        return watch.until([&] {
            return std::any_of(lines.begin(), lines.end(),
                               [&](const std::string& l) { return l.find(text) != std::string::npos; });
        });
    }

    Watch watch;
    std::vector<std::string> calls, lines;
    std::vector<routing::Input> posted;    // and taken
    std::size_t refused = 0, batches = 0;  // inputs not taken; batches that went to the front
    std::atomic<bool> refusing = false;    // as if the queue were full
    std::unique_ptr<routing::PlannerThread> thread;
    std::unique_ptr<grpc_front::Server> server;

private:
    protocol::Config config_;
    std::uint64_t rev_ = 1;
};

inline protocol::CatalogEntry box(const std::string& uid, const std::string& zone,
                                  ServerState state = ServerState::ready) {
    protocol::CatalogEntry out;
    out.uid = uid;
    out.endpoint = "127.0.0.1:9";
    out.zone = zone;
    out.kind = "m1";
    out.state = state;
    out.weight = 1;
    return out;
}

// One stream, written by the test and read by a thread of its own.
template <class Request, class Response>
class Peer {
public:
    using Open =
        std::function<std::unique_ptr<::grpc::ClientReaderWriter<Request, Response>>(::grpc::ClientContext*)>;
    explicit Peer(const Open& open, std::chrono::seconds deadline = std::chrono::seconds{60}) {
        context.set_deadline(std::chrono::system_clock::now() + deadline);
        stream = open(&context);
        reader_ = std::thread([this] {
            Response response;
            while (stream->Read(&response)) watch.change([&] { got.push_back(response); });
            const ::grpc::Status end = stream->Finish();
            watch.change([&] {
                status = end;
                ended = true;
            });
        });
    }
    ~Peer() {
        context.TryCancel();
        reader_.join();
    }
    Peer(const Peer&) = delete;
    Peer& operator=(const Peer&) = delete;

    bool say(const Request& request) { return stream->Write(request); }
    [[nodiscard]] bool awaitEnd() {
        return watch.until([&] { return ended; });
    }
    // Until a response answers to `holds`.
    template <class Holds>
    [[nodiscard]] bool await(const Holds& holds) {
        return watch.until([&] { return std::any_of(got.begin(), got.end(), holds); });
    }

    ::grpc::ClientContext context;
    std::unique_ptr<::grpc::ClientReaderWriter<Request, Response>> stream;
    Watch watch;
    std::vector<Response> got;
    ::grpc::Status status;
    bool ended = false;

private:
    std::thread reader_;
};

class AssignPeer : public Peer<v1::AssignRequest, v1::AssignResponse> {
public:
    explicit AssignPeer(const std::shared_ptr<::grpc::Channel>& channel,
                        std::chrono::seconds deadline = std::chrono::seconds{60})
        : Peer([stub = std::shared_ptr(v1::Assignments::NewStub(channel))](
                   ::grpc::ClientContext* c) { return stub->Assign(c); },
               deadline) {}

    bool hello(const std::string& node, std::uint64_t epoch = 0, std::uint64_t lastTaken = 0) {
        v1::AssignRequest out;
        out.mutable_hello()->mutable_node()->set_id(node);
        out.mutable_hello()->set_epoch(epoch);
        out.mutable_hello()->set_last_taken(lastTaken);
        return say(out);
    }
    bool join(std::uint32_t relay, const std::string& zone) {
        v1::AssignRequest out;
        out.mutable_joined()->set_relay(relay);
        out.mutable_joined()->set_zone(zone);
        out.mutable_joined()->set_rps(10);
        out.mutable_joined()->set_fresh(true);
        return say(out);
    }
    bool take(const v1::Batch& batch, std::uint32_t orders, const std::string& why = "") {
        v1::AssignRequest out;
        out.mutable_taken()->set_nonce(batch.nonce());
        out.mutable_taken()->set_orders(orders);
        out.mutable_taken()->set_refused_because(why);
        return say(out);
    }
    bool take(const v1::Batch& batch) { return take(batch, static_cast<std::uint32_t>(batch.orders_size())); }
    bool answer(std::uint32_t relay, std::uint32_t mark) {
        v1::AssignRequest out;
        auto* answer = out.mutable_answers()->add_answers();
        answer->set_relay(relay);
        answer->set_mark(mark);
        return say(out);
    }
    // The batch number `n`, counting from 0.
    std::optional<v1::Batch> batch(std::size_t n) {
        std::optional<v1::Batch> out;
        (void)watch.until([&] {
            std::size_t seen = 0;
            for (const auto& r : got) {
                if (r.has_batch() && seen++ == n) out = r.batch();
            }
            return out.has_value() || ended;
        });
        return out;
    }
};

class ReportPeer : public Peer<v1::ReportRequest, v1::ReportControl> {
public:
    explicit ReportPeer(const std::shared_ptr<::grpc::Channel>& channel,
                        std::chrono::seconds deadline = std::chrono::seconds{60})
        : Peer([stub = std::shared_ptr(v1::LoadReports::NewStub(channel))](
                   ::grpc::ClientContext* c) { return stub->Report(c); },
               deadline) {}

    bool hello(const std::string& node, std::uint64_t incarnation = 1) {
        v1::ReportRequest out;
        out.mutable_hello()->mutable_node()->set_id(node);
        out.mutable_hello()->mutable_node()->set_incarnation(incarnation);
        return say(out);
    }
    bool report(std::uint64_t sequence, const std::vector<v1::Outcomes>& rows) {
        v1::ReportRequest out;
        out.mutable_batch()->set_sequence(sequence);
        for (const auto& row : rows) *out.mutable_batch()->add_outcomes() = row;
        return say(out);
    }
    // Until the planner says that it has taken this number.
    [[nodiscard]] bool awaitTaken(std::uint64_t sequence) {
        return await([&](const v1::ReportControl& c) { return c.taken() >= sequence; });
    }
};

inline v1::Outcomes outcomes(const std::string& zone, const std::string& server, std::uint32_t tries) {
    v1::Outcomes out;
    out.set_zone(zone);
    out.set_server(server);
    out.set_tries(tries);
    out.set_failed(0);
    out.set_mean_us(40000);
    out.set_over_us(2000000);
    return out;
}

}  // namespace marldale::tests
