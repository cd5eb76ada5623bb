#include "grpc/peer_stream.h"

#include <algorithm>

#include "grpc/convert.h"

namespace marldale::grpc_front {
namespace {

using ::grpc::Status;
using ::grpc::StatusCode;

constexpr std::size_t kPart = std::size_t{64} << 10U;
constexpr Micros kAskAgain = 500000;       // a peer that asks sooner is refused
constexpr Micros kHandedWithin = 2000000;  // a copy that is not read in this time is given up
constexpr std::size_t kAskersMost = 4;     // that are handed a copy at once

}  // namespace

PeerStream::PeerStream(Server& server, v1::Peers::AsyncService& service) : server_(server) {
    listen([&](auto* context, auto* io, void* tag) {
        service.RequestTalk(context, io, server.queue(), server.queue(), tag);
    });
}

void PeerStream::onOpened() {
    server_.opened();
    server_.peersOpened();
    opened_ = server_.now();
    guest_ = server_.guest(context());
    if (!guest_.refused.ok()) return end(guest_.refused);
    if (!guest_.passport.mayBePeer()) {
        return end({StatusCode::PERMISSION_DENIED, "this identity is no instance of the planner"});
    }
    if (server_.full()) end({StatusCode::RESOURCE_EXHAUSTED, "too many streams are open"});
}

void PeerStream::onRequest(v1::PeerRequest& request) {
    const auto kind = request.message_case();
    if (kind == v1::PeerRequest::kHello) return hello(request.hello());
    if (kind == v1::PeerRequest::MESSAGE_NOT_SET) return;  // of a later version: left out
    if (name_.empty()) return end({StatusCode::FAILED_PRECONDITION, "say hello first"});
    if (kind == v1::PeerRequest::kAsk) return ask(request.ask());
    word(request.word());
}

void PeerStream::hello(const v1::PeerHello& hello) {
    const std::string& id = hello.node().id();
    if (!name_.empty()) return end({StatusCode::FAILED_PRECONDITION, "hello was said already"});
    if (!isNodeId(id)) return end({StatusCode::INVALID_ARGUMENT, "node.id must be 1 to 128 printable bytes"});
    name_ = id;
}

void PeerStream::word(const v1::PeerWord& word) {
    // Who speaks is who has said hello; what is wrong otherwise is a word that was lost.
    const auto message = readWord(word);
    if (message && message->from == name_) server_.host().ear->heard(*message);
}

void PeerStream::refuse(std::uint64_t number, const std::string& why) {
    v1::PeerResponse out;
    out.mutable_refused()->set_number(number);
    out.mutable_refused()->set_why(why);
    write(std::move(out));
}

void PeerStream::ask(const v1::PeerAsk& ask) {
    const Micros now = server_.now();
    if (handed_) return refuse(ask.number(), "the last copy is still on its way");
    if (hasAsked_ && now - asked_ < kAskAgain) return refuse(ask.number(), "asked too often");
    hasAsked_ = true;
    asked_ = now;
    if (server_.askers() >= kAskersMost) return refuse(ask.number(), "too many ask at once");
    auto copy = server_.host().ear->handOver();
    if (ask.bytes_most() != 0 && copy->size() > ask.bytes_most()) {
        return refuse(ask.number(), "the copy has " + std::to_string(copy->size()) + " bytes");
    }
    handed_ = std::move(copy);
    number_ = ask.number();
    sent_ = 0;
    handingSince_ = now;
    server_.askerCame();
    server_.host().log("peers", name_ + " asks what is known: " + std::to_string(handed_->size()) + " bytes");
    if (!writing()) sendPart();
}

// One part at a time: what is not read stays where it is, once for all who ask.
void PeerStream::sendPart() {
    if (!handed_) return;
    const std::size_t size = std::min(kPart, handed_->size() - sent_);
    v1::PeerResponse out;
    v1::KnowledgePart& part = *out.mutable_part();
    part.set_number(number_);
    part.set_bytes(handed_->substr(sent_, size));
    sent_ += size;
    part.set_last(sent_ == handed_->size());
    if (part.last()) doneHanding();
    write(std::move(out));
}

void PeerStream::doneHanding() {
    if (!handed_) return;
    handed_.reset();
    server_.askerWent();
}

void PeerStream::tick(Micros now) {
    endInTime(now);
    if (over() || ending() || !accepted()) return;
    if (name_.empty() && now - opened_ >= server_.helloWithin()) {
        return end({StatusCode::DEADLINE_EXCEEDED, "no hello in time"});
    }
    if (handed_ && now - handingSince_ >= kHandedWithin) {
        server_.host().log("peers", name_ + " does not read its copy: given up");
        doneHanding();
        end({StatusCode::RESOURCE_EXHAUSTED, "the copy is not read"});
    }
}

void PeerStream::goodbye(Micros /*until*/) { end({StatusCode::UNAVAILABLE, "the planner goes away"}); }

void PeerStream::renew() {
    if (!accepted() || over() || guest_.names.empty()) return;
    const auto passport = server_.passport(guest_.names);
    if (!passport || !passport->mayBePeer()) {
        return end({StatusCode::PERMISSION_DENIED, "this identity is no instance of the planner any more"});
    }
    guest_.passport = *passport;
}

void PeerStream::onOver() {
    server_.closed();
    doneHanding();
}

}  // namespace marldale::grpc_front
