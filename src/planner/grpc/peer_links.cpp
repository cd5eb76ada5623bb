#include "grpc/peer_links.h"

#include <chrono>
#include <vector>

#include "grpc/convert.h"

namespace marldale::grpc_front {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kSessionsMost = 256;
constexpr std::size_t kCopyMost = (std::size_t{16} << 20U) + 64;
constexpr std::chrono::milliseconds kEndWithin{500};  // for all peers together to read the last messages
constexpr std::chrono::seconds kIdle{30};             // without a word: the stream is closed

}  // namespace

class PeerSession : public client::Session<v1::PeerRequest, v1::PeerResponse> {
public:
    PeerSession(routing::PeerEar& ear, std::string peer, const std::shared_ptr<::grpc::Channel>& channel)
        : PeerSession(ear, std::move(peer), std::shared_ptr(v1::Peers::NewStub(channel))) {}
    ~PeerSession() { close(); }

    void ask() {
        const std::lock_guard lock(mutex_);
        used_ = steady_clock::now();
        if (asking_) return;
        asking_ = true;
        bytes_.clear();
        askedAt_ = used_;
        dialNow();
        v1::PeerRequest out;
        out.mutable_ask()->set_number(++number_);
        out.mutable_ask()->set_bytes_most(kCopyMost);
        Session::say(std::move(out));
    }
    void tell(const membership::PeerMessage& message) {
        const std::lock_guard lock(mutex_);
        used_ = steady_clock::now();
        dialNow();
        v1::PeerRequest out;
        *out.mutable_word() = writeWord(message);
        Session::say(std::move(out));
    }
    [[nodiscard]] bool idle(steady_clock::time_point now) const {
        const std::lock_guard lock(mutex_);
        return !asking_ && now - used_ > kIdle;
    }

private:
    PeerSession(routing::PeerEar& ear, std::string peer, std::shared_ptr<v1::Peers::Stub> stub)
        : Session([stub](::grpc::ClientContext* context,
                         Reactor* reactor) { stub->async()->Talk(context, reactor); },
                  {false, {}, {}}),
          ear_(ear),
          peer_(std::move(peer)) {}

    v1::PeerRequest hello() override {
        v1::PeerRequest out;
        out.mutable_hello()->mutable_node()->set_id(ear_.name());
        out.mutable_hello()->mutable_node()->set_incarnation(client::nowMicros());
        return out;
    }
    void got(const v1::PeerResponse& response) override {
        answered();
        if (!asking_) return;
        if (response.has_refused() && response.refused().number() == number_) {
            return finish(std::nullopt, "it refuses: " + response.refused().why().substr(0, 200));
        }
        if (!response.has_part() || response.part().number() != number_) return;
        bytes_ += response.part().bytes();
        if (bytes_.size() > kCopyMost) return finish(std::nullopt, "its copy is too long");
        if (response.part().last()) finish(std::move(bytes_), "");
    }
    void over(const ::grpc::Status& status) override {
        if (asking_) finish(std::nullopt, "the stream has ended: " + status.error_message().substr(0, 200));
    }
    void finish(std::optional<std::string> bytes, const std::string& wrong) {
        asking_ = false;
        const auto took =
            std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - askedAt_).count();
        ear_.answered(peer_, std::move(bytes), took, wrong);
        bytes_ = {};
    }

    routing::PeerEar& ear_;
    const std::string peer_;
    bool asking_ = false;
    std::uint64_t number_ = 0;
    std::string bytes_;
    steady_clock::time_point askedAt_, used_ = steady_clock::now();
};

PeerLinks::PeerLinks(routing::PeerEar& ear, Credentials credentials)
    : ear_(ear), credentials_(std::move(credentials)) {}

PeerLinks::~PeerLinks() { close(); }

void PeerLinks::close() {
    std::map<std::string, std::shared_ptr<PeerSession>> sessions;
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        sessions.swap(sessions_);
    }
    for (const auto& [key, session] : sessions) session->endWrites();
    const auto until = steady_clock::now() + kEndWithin;
    for (const auto& [key, session] : sessions) session->awaitEnd(until);
}

std::shared_ptr<PeerSession> PeerLinks::session(const membership::PeerEndpoint& peer) {
    std::vector<std::shared_ptr<PeerSession>> gone;  // they end outside of the lock
    const std::lock_guard lock(mutex_);
    if (closed_ || peer.address.empty()) return nullptr;
    const std::string key = peer.name + ' ' + peer.address;
    const auto known = sessions_.find(key);
    if (known != sessions_.end()) return known->second;
    const auto now = steady_clock::now();
    std::erase_if(sessions_, [&](auto& s) {
        if (!s.second->idle(now)) return false;
        gone.push_back(std::move(s.second));
        return true;
    });
    if (sessions_.size() >= kSessionsMost) return nullptr;
    ::grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 2000);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
    const auto channel = ::grpc::CreateCustomChannel(peer.address, credentials_(), arguments);
    return sessions_[key] = std::make_shared<PeerSession>(ear_, peer.name, channel);
}

void PeerLinks::ask(const membership::PeerEndpoint& peer) {
    const auto to = session(peer);
    if (!to) return ear_.answered(peer.name, std::nullopt, 0, "there is no way to it");
    to->ask();
}

void PeerLinks::say(const membership::PeerEndpoint& peer, const membership::PeerMessage& message) {
    if (const auto to = session(peer)) to->tell(message);
}

}  // namespace marldale::grpc_front
