#include "grpc/server.h"

#include <grpc/grpc_security_constants.h>
#include <grpc/support/log.h>
#include <grpcpp/resource_quota.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <stdexcept>

#include "grpc/assign_stream.h"
#include "grpc/peer_stream.h"
#include "grpc/report_stream.h"

namespace marldale::grpc_front {
namespace {

using ::grpc::Status;
using ::grpc::StatusCode;

constexpr int kMessageMost = 1 << 20;
constexpr std::chrono::milliseconds kTickEvery{20};
constexpr std::size_t kNodesMost = 8192;
constexpr Micros kNodeKept = 600000000;  // without a stream
constexpr int kHandshakeMs = 1100;       // as for strangers on the platform
constexpr int kIdleMs = 10000;           // a connection without a stream
constexpr int kStreamsOfAConnection = 1024;

std::string property(const ::grpc::AuthContext& auth, const char* name) {
    std::string out;
    for (const auto& value : auth.FindPropertyValues(name)) out.append(value.data(), value.size());
    return out;
}

// The library's own lines go where all others go: it tells each failed handshake, and has no limit.
struct LibraryLog {
    std::mutex mutex;
    routing::Logger log;
};
LibraryLog& libraryLog() {
    static LibraryLog out;
    return out;
}
void sendLibraryLogTo(routing::Logger log) {
    const std::lock_guard lock(libraryLog().mutex);
    libraryLog().log = std::move(log);
    gpr_set_log_verbosity(GPR_LOG_SEVERITY_ERROR);
    gpr_set_log_function([](gpr_log_func_args* line) {
        const std::lock_guard inner(libraryLog().mutex);
        if (libraryLog().log) libraryLog().log("grpc-library", line->message);
        // The library ends the process next, and lines of the log may still wait.
        if (std::strstr(line->message, "assertion failed") != nullptr)
            std::fprintf(stderr, "%s\n", line->message);
    });
}

}  // namespace

Server::Server(const routing::FrontSettings& settings, routing::FrontHost host)
    : host_(std::move(host)),
      plain_(settings.plain()),
      streamsMost_(settings.streamsMost),
      helloWithin_(settings.helloWithinMs * 1000),
      passports_(settings.passports),
      pacer_(host_.pace) {
    sendLibraryLogTo(host_.log);
    if (!plain_) ring_.emplace(readKeys(settings));
    ::grpc::ServerBuilder builder;
    builder.AddListeningPort(settings.listen,
                             plain_ ? ::grpc::InsecureServerCredentials() : credentialsOf(*ring_), &port_);
    builder.RegisterService(&reports_);
    builder.RegisterService(&assignments_);
    if (host_.ear != nullptr) builder.RegisterService(&peers_);
    builder.SetMaxReceiveMessageSize(kMessageMost);
    builder.SetResourceQuota(::grpc::ResourceQuota("marldale").Resize(settings.memoryMost));
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, kStreamsOfAConnection);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, kHandshakeMs);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, kIdleMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(settings.keepaliveMs));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(settings.keepaliveMs));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 500);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE,
                               0);  // windows stay at 64 KiB: memory of a stream is bounded
    queue_ = builder.AddCompletionQueue();
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
        if (queue_) queue_->Shutdown();
        throw std::runtime_error("gRPC can't listen on " + settings.listen);
    }
    tickTag_.done = [this](bool ok) {
        if (ok) tick();
    };
    wakeTag_.done = [this](bool) { runPosted(); };
    listenForReports();
    listenForAssignments();
    if (host_.ear != nullptr) {
        listenForPeers();
        links_ = std::make_unique<PeerLinks>(*host_.ear, [this] { return credentialsForPeers(); });
    }
    armTick();
    thread_ = std::thread([this] { run(); });
    host_.log("grpc", std::string("listening on ") + settings.listen.substr(0, settings.listen.rfind(':')) +
                          ":" + std::to_string(port_) +
                          (plain_ ? ", plain text" : ", TLS with client certificates"));
}

Server::~Server() { stop(0); }

Micros Server::now() const {
    using std::chrono::steady_clock;
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now().time_since_epoch())
        .count();
}

// ---- The queue's thread ----

void Server::run() {
    void* tag = nullptr;
    bool ok = false;
    while (queue_->Next(&tag, &ok)) {
        static_cast<Tag*>(tag)->done(ok);
        bury();
    }
    streams_.clear();
}

void Server::bury() {
    std::erase_if(streams_, [](const auto& s) { return s->dead(); });
}

void Server::listenForReports() {
    const std::lock_guard lock(mutex_);
    if (!stopping_) streams_.push_back(std::make_unique<ReportStream>(*this, reports_));
}

void Server::listenForAssignments() {
    const std::lock_guard lock(mutex_);
    if (!stopping_) streams_.push_back(std::make_unique<AssignStream>(*this, assignments_));
}

void Server::listenForPeers() {
    const std::lock_guard lock(mutex_);
    if (!stopping_) streams_.push_back(std::make_unique<PeerStream>(*this, peers_));
}

std::shared_ptr<::grpc::ChannelCredentials> Server::credentialsForPeers() {
    if (plain_) return ::grpc::InsecureChannelCredentials();
    const auto keys = ring_->now();
    return ::grpc::SslCredentials({keys->peersCa, keys->key, keys->certificate});
}

void Server::armTick() {
    const std::lock_guard lock(mutex_);
    if (!stopping_) tickAlarm_.Set(queue_.get(), std::chrono::system_clock::now() + kTickEvery, &tickTag_);
}

void Server::tick() {
    const Micros at = now();
    // A stream that ends in its tick is only marked: none goes away while they are walked.
    for (std::size_t i = 0; i < streams_.size(); ++i) streams_[i]->tick(at);
    while (!orphans_.empty() && host_.post(orphans_.front())) orphans_.pop_front();
    armTick();
}

void Server::leaveBehind(std::deque<routing::Input> inputs) {
    for (routing::Input& input : inputs) orphans_.push_back(std::move(input));
    while (!orphans_.empty() && host_.post(orphans_.front())) orphans_.pop_front();
}

Server::Node* Server::node(const std::string& id) {
    const auto at = nodes_.find(id);
    if (at != nodes_.end()) {
        at->second.seen = now();
        return &at->second;
    }
    if (nodes_.size() >= kNodesMost) {
        std::erase_if(nodes_, [this](const auto& n) {
            return n.second.reports == nullptr && n.second.assignments == nullptr &&
                   now() - n.second.seen > kNodeKept;
        });
        if (nodes_.size() >= kNodesMost) return nullptr;
    }
    Node& out = nodes_[id];
    out.source = ++lastSource_;
    out.seen = now();
    return &out;
}

dispatch::LaneId Server::newLane(AssignStream* stream) {
    lanes_[++lastLane_] = stream;
    return lastLane_;
}

std::optional<membership::Permissions> Server::passport(const std::vector<std::string>& names) {
    const std::lock_guard lock(passportsMutex_);
    const membership::Permissions* found = passports_.find(names);
    if (found == nullptr) return std::nullopt;
    return *found;
}

Guest Server::guest(const ::grpc::ServerContext& context) {
    Guest out;
    out.peer = context.peer();
    if (plain_) {
        out.passport.everything = true;
        return out;
    }
    const auto auth = context.auth_context();
    // The client's own certificate, whose key it has proven to hold; what it sent along only helps to judge
    // it.
    const std::string own = property(*auth, GRPC_X509_PEM_CERT_PROPERTY_NAME);
    const std::string others = property(*auth, GRPC_X509_PEM_CERT_CHAIN_PROPERTY_NAME);
    const Identity identity = identify(own, others, ring_->now()->clientsCa, std::time(nullptr));
    if (!identity.refused.empty()) {
        out.refused = {StatusCode::UNAUTHENTICATED, identity.refused};
    } else if (const auto known = passport(identity.names)) {
        out.names = identity.names;
        out.passport = *known;
    } else {
        out.refused = {StatusCode::PERMISSION_DENIED,
                       "identity " + identity.names.front() + " is not in the settings"};
    }
    if (!out.refused.ok()) host_.log("grpc", out.peer + ": " + out.refused.error_message());
    return out;
}

// ---- From other threads ----

void Server::post(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    posted_.push_back(std::move(task));
    if (std::exchange(woken_, true)) return;
    wakeAlarm_.Set(queue_.get(), std::chrono::system_clock::now(), &wakeTag_);
}

void Server::runPosted() {
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(posted_);
        woken_ = false;
    }
    for (const auto& task : tasks) task();
}

void Server::carryOut(std::vector<routing::FrontCommand> commands) {
    post([this, commands = std::move(commands)]() mutable { carryOutHere(commands); });
}

void Server::carryOutHere(std::vector<routing::FrontCommand>& commands) {
    struct Visitor {
        Server& self;
        [[nodiscard]] AssignStream* stream(dispatch::LaneId lane) const {
            const auto at = self.lanes_.find(lane);
            return at == self.lanes_.end() ? nullptr : at->second;
        }
        void operator()(const dispatch::Welcome& w) const {
            if (auto* s = stream(w.lane)) s->welcome(w);
        }
        void operator()(const dispatch::SendBatch& b) const {
            if (auto* s = stream(b.lane)) s->send(b.batch);
        }
        void operator()(const dispatch::EndLane& e) const {
            if (auto* s = stream(e.lane)) s->end({StatusCode::UNAVAILABLE, e.why});
        }
        void operator()(const routing::ReleaseProxy& r) const {
            if (auto* s = stream(r.lane)) s->release(r.proxy, "it has joined elsewhere");
        }
    };
    for (const auto& command : commands) std::visit(Visitor{*this}, command);
}

void Server::renew(const routing::FrontSettings& settings) {
    if (settings.plain() != plain_)
        throw std::runtime_error("TLS can be switched on and off only at the start");
    if (!plain_) ring_->renew(readKeys(settings));
    {
        const std::lock_guard lock(passportsMutex_);
        passports_ = settings.passports;
    }
    post([this] {
        for (std::size_t i = 0; i < streams_.size(); ++i) streams_[i]->renew();
    });
}

void Server::shutQueue() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        tickAlarm_.Cancel();
    }
    for (const auto& stream : streams_) stream->close();
    queue_->Shutdown();
}

void Server::stop(std::int64_t withinMs) {
    if (!thread_.joinable()) return;
    if (links_) links_->close();
    const auto deadline = std::chrono::system_clock::now() + std::chrono::milliseconds(withinMs);
    // Peers have half of the time to read their goodbye.
    post([this, until = now() + withinMs * 1000 / 2] {
        for (std::size_t i = 0; i < streams_.size(); ++i) {
            if (streams_[i]->accepted()) streams_[i]->goodbye(until);
        }
    });
    server_->Shutdown(deadline);  // no new streams; those left at the deadline are cancelled
    // All calls are over, but what they brought may still wait in the queue: it is shut in its own thread, so
    // that none of it begins an operation behind its end.
    post([this] { shutQueue(); });
    thread_.join();
    sendLibraryLogTo({});
}

}  // namespace marldale::grpc_front
