#include "marldale/assignments.h"

namespace marldale::client {
namespace {

v1::AssignRequest joinedOf(const Relay& relay) {
    v1::AssignRequest out;
    out.mutable_joined()->set_relay(relay.id);
    out.mutable_joined()->set_zone(relay.zone);
    out.mutable_joined()->set_rps(relay.rps);
    out.mutable_joined()->set_fresh(relay.fresh);
    return out;
}

}  // namespace

Assignments::Assignments(const std::shared_ptr<::grpc::Channel>& channel, AssignmentsOptions options,
                         AssignmentsHandlers handlers)
    : Session([this](auto* context, auto* call) { stub_->async()->Assign(context, call); }, options.redial),
      stub_(v1::Assignments::NewStub(channel)),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      tables_(options_.classes) {}

Assignments::~Assignments() { close(); }

v1::AssignRequest Assignments::hello() {
    v1::AssignRequest out;
    auto* hello = out.mutable_hello();
    hello->mutable_node()->set_id(options_.node);
    hello->mutable_node()->set_incarnation(incarnation_);
    hello->mutable_node()->set_agent(options_.agent);
    hello->mutable_node()->set_speaks(1);
    hello->set_epoch(tables_.epoch());
    hello->set_last_taken(tables_.lastTaken());
    return out;
}

// Nobody waits for the welcome: it comes before any batch.
void Assignments::greeted() {
    for (const auto& [id, relay] : relays_) say(joinedOf(relay));
}

void Assignments::got(const v1::AssignResponse& response) {
    answered();
    if (response.has_welcome()) {
        tables_.welcome(response.welcome());
        standing_ = true;
        for (const auto& [id, relay] : relays_) tables_.join(id);
        if (handlers_.welcomed) handlers_.welcomed(response.welcome().kept());
    } else if (response.has_batch()) {
        const RelayTables::Outcome outcome = tables_.apply(response.batch());
        v1::AssignRequest out;
        out.mutable_taken()->set_nonce(response.batch().nonce());
        out.mutable_taken()->set_orders(outcome.taken);
        out.mutable_taken()->set_refused_because(outcome.refusedBecause);
        if (handlers_.applied) handlers_.applied(response.batch(), outcome);
        say(std::move(out));
    } else if (response.has_release()) {
        tables_.leave(response.release().relay());
        relays_.erase(response.release().relay());
        if (handlers_.released) handlers_.released(response.release().relay(), response.release().why());
    } else if (response.has_goodbye()) {
        sayNoMore();
    }
}

void Assignments::over(const ::grpc::Status& status) {
    standing_ = false;
    if (handlers_.ended) handlers_.ended(status);
}

void Assignments::join(const Relay& relay) {
    const std::lock_guard lock(mutex_);
    relays_[relay.id] = relay;
    tables_.join(relay.id);
    say(joinedOf(relay));
}

void Assignments::leave(std::uint32_t relay) {
    const std::lock_guard lock(mutex_);
    relays_.erase(relay);
    tables_.leave(relay);
    v1::AssignRequest out;
    out.mutable_left()->set_relay(relay);
    say(std::move(out));
}

void Assignments::breakOffWithout(const std::set<std::uint32_t>& relays) {
    const std::lock_guard lock(mutex_);
    for (const std::uint32_t relay : relays) {
        relays_.erase(relay);
        tables_.leave(relay);
    }
    breakOff();
}

void Assignments::answer(const std::set<std::uint32_t>& relays, std::uint32_t mark,
                         std::chrono::microseconds took) {
    if (relays.empty()) return;
    v1::AssignRequest out;
    for (const std::uint32_t relay : relays) {
        auto* answer = out.mutable_answers()->add_answers();
        answer->set_relay(relay);
        answer->set_mark(mark);
        answer->set_took_us(static_cast<std::uint64_t>(took.count()));
    }
    const std::lock_guard lock(mutex_);
    if (standing_) say(std::move(out));
}

void Assignments::bye() {
    const std::lock_guard lock(mutex_);
    v1::AssignRequest out;
    out.mutable_bye();
    sayLast(std::move(out));
}

bool Assignments::standing() const {
    const std::lock_guard lock(mutex_);
    return standing_;
}

}  // namespace marldale::client
