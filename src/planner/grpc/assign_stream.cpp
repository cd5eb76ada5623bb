#include "grpc/assign_stream.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "grpc/convert.h"

namespace marldale::grpc_front {
namespace {

using ::grpc::Status;
using ::grpc::StatusCode;

constexpr std::size_t kAnswersMost = 8192;  // in one message
constexpr std::size_t kReasonMost = 256;    // bytes of a refusal that reach the log

}  // namespace

AssignStream::AssignStream(Server& server, v1::Assignments::AsyncService& service) : server_(server) {
    listen([&](auto* context, auto* io, void* tag) {
        service.RequestAssign(context, io, server.queue(), server.queue(), tag);
    });
}

void AssignStream::onOpened() {
    server_.opened();
    server_.assignmentsOpened();
    opened_ = server_.now();
    guest_ = server_.guest(context());
    if (!guest_.refused.ok()) return end(guest_.refused);
    if (server_.full()) end({StatusCode::RESOURCE_EXHAUSTED, "too many streams are open"});
}

void AssignStream::onRequest(v1::AssignRequest& request) {
    const auto kind = request.message_case();
    if (kind == v1::AssignRequest::kHello) return hello(request.hello());
    if (kind == v1::AssignRequest::MESSAGE_NOT_SET) return;  // of a later version: left out
    if (node_.empty()) return end({StatusCode::FAILED_PRECONDITION, "say hello first"});
    if (lane_ == 0) return;
    switch (kind) {
        case v1::AssignRequest::kJoined: return joined(request.joined());
        case v1::AssignRequest::kLeft:
            if (request.left().relay() > std::numeric_limits<ProxyId>::max()) return;
            relays_.erase(static_cast<ProxyId>(request.left().relay()));
            return post(
                routing::LaneNews{lane_, protocol::Bye{static_cast<ProxyId>(request.left().relay())}});
        case v1::AssignRequest::kTaken: return taken(request.taken());
        case v1::AssignRequest::kAnswers: return answers(request.answers());
        default: return end(Status::OK);  // bye
    }
}

void AssignStream::hello(const v1::AssignHello& hello) {
    const std::string& id = hello.node().id();
    if (!node_.empty()) return end({StatusCode::FAILED_PRECONDITION, "hello was said already"});
    if (!isNodeId(id)) return end({StatusCode::INVALID_ARGUMENT, "node.id must be 1 to 128 printable bytes"});
    Server::Node* node = server_.node(id);
    if (node == nullptr) return end({StatusCode::RESOURCE_EXHAUSTED, "too many nodes"});
    if (node->assignments != nullptr) {
        node->assignments->closeLane();  // before this one opens: what it held is remembered for it
        node->assignments->end({StatusCode::ABORTED, "this node has a newer stream"});
    }
    node->assignments = this;
    node_ = id;
    lane_ = server_.newLane(this);
    server_.host().log("grpc", "assignments for " + node_ + " from " + guest_.peer);
    // With certificates a name is only its owner's word: what is remembered under it belongs to the identity
    // too.
    std::string remembered = guest_.names.empty() ? node_ : guest_.names.front() + " " + node_;
    post(routing::LaneOpened{lane_, {std::move(remembered), hello.epoch(), hello.last_taken()}});
}

bool AssignStream::mayHold(const protocol::Hello& hello, std::string& why) const {
    const auto& zones = server_.host().zones;
    if (hello.proxy >= server_.host().proxies) {
        why = "no relay has the number " + std::to_string(hello.proxy);
    } else if (std::find(zones.begin(), zones.end(), hello.zone) == zones.end()) {
        why = "there is no zone " + hello.zone.substr(0, 60);
    } else if (!guest_.passport.mayHold(hello.proxy, hello.zone)) {
        why = "this identity may not hold relay " + std::to_string(hello.proxy) + " of zone " + hello.zone;
    } else {
        return true;
    }
    return false;
}

void AssignStream::joined(const v1::RelayJoined& joined) {
    std::string why;
    const auto hello = readJoined(joined, why);
    if (hello && mayHold(*hello, why)) {
        relays_.insert(hello->proxy);
        return post(routing::LaneNews{lane_, *hello});
    }
    server_.host().log("grpc", node_ + ": a relay is not let in: " + why);
    v1::AssignResponse out;
    out.mutable_release()->set_relay(joined.relay());
    out.mutable_release()->set_why(why);
    write(std::move(out));
}

void AssignStream::taken(const v1::Taken& taken) {
    post(routing::LaneTook{lane_, taken.nonce(), taken.orders(),
                           taken.refused_because().substr(0, kReasonMost)});
}

void AssignStream::answers(const v1::RelayAnswers& answers) {
    if (static_cast<std::size_t>(answers.answers_size()) > kAnswersMost) {
        return end({StatusCode::INVALID_ARGUMENT, "too many answers in one message"});
    }
    for (const auto& answer : answers.answers()) {
        const auto ack = readAnswer(answer);
        if (ack && relays_.count(ack->proxy) == 0) continue;  // it has left, or joined elsewhere
        if (ack) {
            post(routing::LaneNews{lane_, *ack});
        } else {
            server_.host().log("grpc", node_ + ": an answer is out of range and left out");
        }
    }
}

void AssignStream::post(routing::Input input) {
    waiting_.push_back(std::move(input));
    flush();
}

void AssignStream::flush() {
    while (!waiting_.empty() && server_.host().post(waiting_.front())) waiting_.pop_front();
    waiting_.empty() ? resume() : pause();
}

void AssignStream::welcome(const dispatch::Welcome& welcome) {
    v1::AssignResponse out;
    auto* message = out.mutable_welcome();
    message->set_epoch(server_.host().epoch);
    message->set_kept(welcome.kept);
    for (const std::string& server : welcome.shut) message->add_shut_out(server);
    write(std::move(out));
}

void AssignStream::send(const dispatch::Batch& batch) {
    v1::AssignResponse out;
    writeBatch(batch, server_.host().classes, *out.mutable_batch());
    write(std::move(out));
}

void AssignStream::release(ProxyId relay, const std::string& why) {
    relays_.erase(relay);
    v1::AssignResponse out;
    out.mutable_release()->set_relay(relay);
    out.mutable_release()->set_why(why);
    write(std::move(out));
}

void AssignStream::tick(Micros now) {
    endInTime(now);
    if (over() || ending() || !accepted()) return;
    if (node_.empty() && now - opened_ >= server_.helloWithin()) {
        return end({StatusCode::DEADLINE_EXCEEDED, "no hello in time"});
    }
    if (!waiting_.empty()) flush();
}

void AssignStream::goodbye(Micros until) {
    v1::AssignResponse out;
    out.mutable_goodbye()->set_why("the planner goes away");
    write(std::move(out));
    leave({StatusCode::UNAVAILABLE, "the planner goes away"}, until);
}

void AssignStream::renew() {
    if (!accepted() || over() || guest_.names.empty()) return;
    const auto passport = server_.passport(guest_.names);
    if (!passport) return end({StatusCode::PERMISSION_DENIED, "this identity is no longer in the settings"});
    guest_.passport = *passport;
}

void AssignStream::closeLane() {
    if (lane_ == 0) return;
    server_.laneEnded(lane_);
    waiting_.emplace_back(routing::LaneClosed{lane_});
    server_.leaveBehind(std::exchange(waiting_, {}));
    lane_ = 0;
}

void AssignStream::onOver() {
    server_.closed();
    if (node_.empty()) return;
    closeLane();
    Server::Node* node = server_.node(node_);
    if (node != nullptr && node->assignments == this) node->assignments = nullptr;
}

}  // namespace marldale::grpc_front
