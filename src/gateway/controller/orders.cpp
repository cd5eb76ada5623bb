// Calls that wait for the replicated log: passes them to the order queue, and turns its replies into HTTP
// replies.
#include "gateway/controller/controller.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::steadyNow;

const char* nameOf(OrderOutcome outcome) {
    switch (outcome) {
        case OrderOutcome::confirmed: return "confirmed";
        case OrderOutcome::rejectedStale: return "another version is current";
        case OrderOutcome::invalid: return "the version is not above the current one";
        case OrderOutcome::readConfirmed: return "read";
        case OrderOutcome::redirect: return "another one leads";
        case OrderOutcome::unavailable: return "unavailable";
    }
    return "";
}

}  // namespace

bool Controller::inQuorumContact(Micros now) const { return orders_->inContact(now); }
bool Controller::inQuorumContact() const { return inQuorumContact(steadyNow()); }

void Controller::change(std::string change, std::string description, ReplyCallback sendReply) {
    pendingCalls_[++lastOrderId_] = {std::move(sendReply), std::move(description)};
    orders_->submit(steadyNow(), lastOrderId_, std::move(change));
}

void Controller::refuse(Reply refusal, std::string description, ReplyCallback sendReply) {
    pendingCalls_[++lastOrderId_] = {std::move(sendReply), std::move(description), std::move(refusal)};
    orders_->submitInvalid(steadyNow(), lastOrderId_);
}

void Controller::read(ReplyCallback sendReply) {
    pendingCalls_[++lastOrderId_] = {std::move(sendReply), "read"};
    orders_->read(steadyNow(), lastOrderId_);
}

Reply Controller::replyOf(const OrderReply& reply) const {
    switch (reply.outcome) {
        case OrderOutcome::confirmed: return {};
        case OrderOutcome::rejectedStale: return problemReply(412, nameOf(reply.outcome));
        case OrderOutcome::invalid: return problemReply(400, nameOf(reply.outcome));
        case OrderOutcome::readConfirmed:
            if (configurations_.json().empty()) return problemReply(404, "there is no configuration yet");
            return {200, configurations_.json(), {}};
        case OrderOutcome::redirect: {
            Reply out = problemReply(307, nameOf(reply.outcome));
            out.location = "http://" + reply.leader.substr(0, reply.leader.find(':')) +
                           settings_.control.substr(settings_.control.rfind(':'));
            return out;
        }
        case OrderOutcome::unavailable: break;
    }
    return problemReply(503, textOf(reply.reason));
}

void Controller::deliverReplies() {
    for (const OrderReply& reply : orders_->takeReplies()) {
        const auto at = pendingCalls_.find(reply.id);
        if (at == pendingCalls_.end()) continue;
        const PendingCall call = std::move(at->second);
        pendingCalls_.erase(at);
        const bool rejected =
            reply.outcome == OrderOutcome::rejectedStale || reply.outcome == OrderOutcome::invalid;
        if (reply.outcome == OrderOutcome::confirmed)
            log::info("order_confirmed", {{"order", call.description}});
        if (rejected || reply.outcome == OrderOutcome::unavailable) {
            log::info(rejected ? "order_refused" : "order_unavailable",
                      {{"order", call.description},
                       {"why", rejected ? nameOf(reply.outcome) : textOf(reply.reason)},
                       {"current", configurations_.configuration().version}});
        }
        const bool hasRefusal = reply.outcome == OrderOutcome::invalid && call.refusal;
        call.sendReply(hasRefusal ? *call.refusal : replyOf(reply));
    }
}

configuration::Verdict Controller::applyChange(const proto::Entry& entry, Micros now) {
    const std::set<std::string> before = configurations_.emptied();
    const configuration::Verdict verdict = configurations_.apply(entry.index(), entry.data());
    if (verdict == configuration::Verdict::taken) {
        std::map<std::string, Micros> warmUp;
        for (const proto::ServiceResource& service : configurations_.configuration().services)
            warmUp[service.name()] = service.warm_up();
        for (const std::string& zone : before) {
            if (!configurations_.emptied().count(zone)) registry_.markZoneCold(now, zone, warmUp);
        }
        onConfigurationChanged(now);
        log::info("change_in_force",
                  {{"index", entry.index()}, {"version", configurations_.configuration().version}});
    }
    if (compaction_.applied(entry.data().size())) {
        std::string state = configurations_.snapshot();
        compaction_.compacted(state.size());
        replica_->compact(now, entry.index(), std::move(state));
        log::info("snapshot_made", {{"index", entry.index()}});
    }
    return verdict;
}

void Controller::applyEntry(const proto::Entry& entry) {
    configuration::Verdict verdict = configuration::Verdict::invalid;
    if (entry.kind() == proto::Entry::CHANGE) verdict = applyChange(entry, steadyNow());
    orders_->committed(entry.index(), entry.term(), verdict);
}

}  // namespace marldale::controller
