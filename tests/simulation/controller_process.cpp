#include "controller_process.h"

#include <algorithm>

#include "gateway/settings/contact_limits.h"

namespace marldale::simulation {
namespace {

using configuration::Verdict;
using controller::OrderOutcome;

constexpr Micros kHeartbeatEvery = 300 * kMillisecond, kBatchAgain = 500 * kMillisecond;
constexpr std::uint64_t kSnapshotEvery = 16;  // changes; fewer than in service, so that histories have many

std::string changeOf(const Order& order) {
    if (order.kind == Order::Kind::replace) return configuration::replaceChange(order.text);
    return configuration::zoneChange(order.text, order.kind == Order::Kind::emptyZone);
}

// A replica that can't leave by itself hands the lead over.
template <typename Replica>
void leaveOrHandOver(Replica& replica, Micros now) {
    if constexpr (requires { replica.leave(now); }) {
        replica.leave(now);
    } else {
        replica.transferLeadership(now);
    }
}

controller::OrderQueue::Limits queueLimits(const settings::Bounds& bounds) {
    controller::OrderQueue::Limits limits;
    limits.maxContactAge = settings::quorumContactLimit(bounds);
    return limits;
}

}  // namespace

std::string addressOf(NodeId node) { return "n" + std::to_string(node); }
NodeId nodeAt(const std::string& address) { return std::stoul(address.substr(1)); }

ControllerProcess::ControllerProcess(Environment& environment, const raft::Settings& settings,
                                     raft::PersistentState stored, const settings::Bounds& bounds,
                                     const Faults& faults, Observer observer)
    : environment_(environment),
      faults_(faults),
      observer_(std::move(observer)),
      replica_(settings, std::move(stored), environment.now()),
      store_(configuration::OrderHistory({}, faults.orders)),
      orders_(log_, queueLimits(bounds), faults.orderQueue) {}

void ControllerProcess::start() { tick(); }

void ControllerProcess::terminate() {
    stopping_ = true;
    leaveOrHandOver(replica_, environment_.now());
    orders_.stop();
    work();
}

void ControllerProcess::written(std::uint64_t number) {
    replica_.persisted(environment_.now(), number);
    work();
}

void ControllerProcess::receive(NodeId from, const Message& message) {
    if (const auto* raft = std::get_if<raft::proto::RaftMessage>(&message)) {
        replica_.receive(environment_.now(), *raft);
    } else if (const auto* request = std::get_if<OrderRequest>(&message)) {
        order(from, *request);
    } else if (const auto* hello = std::get_if<ProxyHello>(&message)) {
        if (stopping_) return;
        BoundProxy proxy;
        proxy.binding = hello->binding;
        proxy.index = hello->index;
        proxy.echo.received(environment_.now(), hello->mark);
        proxies_[from] = proxy;
        nextHeartbeat_ = 0;
    } else if (const auto* mark = std::get_if<ProxyMark>(&message)) {
        const auto proxy = proxies_.find(from);
        if (proxy != proxies_.end() && proxy->second.binding == mark->binding)
            proxy->second.echo.received(environment_.now(), mark->mark);
    } else if (const auto* goodbye = std::get_if<ProxyGoodbye>(&message)) {
        const auto proxy = proxies_.find(from);
        if (proxy != proxies_.end() && proxy->second.binding == goodbye->binding) proxies_.erase(proxy);
    } else if (const auto* ack = std::get_if<BatchAck>(&message)) {
        const auto proxy = proxies_.find(from);
        if (proxy != proxies_.end() && proxy->second.binding == ack->binding)
            proxy->second.acknowledged = std::max(proxy->second.acknowledged, ack->index);
    }
    work();
}

void ControllerProcess::tick() {
    const Micros now = environment_.now();
    replica_.tick(now);
    if (now >= nextHeartbeat_) heartbeat();
    work();
}

void ControllerProcess::arm() {
    const Micros now = environment_.now();
    const Micros due =
        std::max(std::min({replica_.nextDue(), nextHeartbeat_, orders_.nextDue()}), now + 1000);
    if (armedFor_ > now && armedFor_ <= due) return;
    armedFor_ = due;
    environment_.after(due - now, [this] {
        armedFor_ = 0;
        tick();
    });
}

void ControllerProcess::work() {
    for (int round = 0; round < 64; ++round) {
        raft::Ready ready = replica_.take();
        if (ready.messages.empty() && ready.writes.empty() && !ready.install && ready.committed.empty() &&
            ready.reads.empty())
            break;
        for (raft::Write& write : ready.writes) environment_.write(std::move(write));
        for (raft::proto::RaftMessage& message : ready.messages) {
            const NodeId to = nodeAt(message.to().address());
            environment_.send(to, std::move(message));
        }
        if (ready.install) restore(*ready.install);
        for (const raft::proto::Entry& entry : ready.committed) apply(entry);
        for (const raft::ReadResult& end : ready.reads) orders_.readEnded(end);
    }
    orders_.update(environment_.now());
    deliverReplies();
    distribute();
    arm();
}

// ---- Orders ----

void ControllerProcess::order(NodeId from, const OrderRequest& request) {
    const Micros now = environment_.now();
    const Caller caller{from, request.attempt};
    const Order& order = request.order;
    if (order.kind == Order::Kind::replace && !configuration::parseConfigurationCached(order.text).ok())
        return answer(caller, Status::invalid);
    callers_[++lastOrder_] = caller;
    if (order.kind == Order::Kind::read) return orders_.read(now, lastOrder_);
    orders_.submit(now, lastOrder_, changeOf(order));
}

void ControllerProcess::answer(const Caller& caller, Status status, std::string text, NodeId location) {
    OrderAnswer out;
    out.attempt = caller.attempt;
    out.status = status;
    out.text = std::move(text);
    out.location = location;
    if (observer_.answers) observer_.answers(caller.node, out);
    environment_.send(caller.node, std::move(out));
}

void ControllerProcess::deliverReplies() {
    for (const controller::OrderReply& reply : orders_.takeReplies()) {
        const auto at = callers_.find(reply.id);
        if (at == callers_.end()) continue;
        const Caller caller = at->second;
        callers_.erase(at);
        switch (reply.outcome) {
            case OrderOutcome::confirmed: answer(caller, Status::ok); break;
            case OrderOutcome::rejectedStale: answer(caller, Status::conflict); break;
            case OrderOutcome::invalid: answer(caller, Status::invalid); break;
            case OrderOutcome::readConfirmed:
                answer(caller, store_.json().empty() ? Status::notFound : Status::ok, store_.json());
                break;
            case OrderOutcome::redirect: answer(caller, Status::redirect, {}, nodeAt(reply.leader)); break;
            case OrderOutcome::unavailable: answer(caller, Status::unavailable); break;
        }
    }
}

void ControllerProcess::apply(const raft::proto::Entry& entry) {
    Verdict verdict = Verdict::invalid;
    if (observer_.applies) observer_.applies(entry);
    if (entry.kind() == raft::proto::Entry::CHANGE) {
        verdict = store_.apply(entry.index(), entry.data());
        if (verdict == Verdict::taken) stateChanged();
        if (++sinceSnapshot_ >= kSnapshotEvery) {
            sinceSnapshot_ = 0;
            replica_.compact(environment_.now(), entry.index(), store_.snapshot());
        }
    }
    orders_.committed(entry.index(), entry.term(), verdict);
}

void ControllerProcess::restore(const raft::proto::Snapshot& snapshot) {
    if (faults_.losesSnapshotOnRestart) return;
    require(store_.restore(snapshot.data()).ok(), "a snapshot can't be restored");
    orders_.installed(snapshot.index());
    stateChanged();
}

// ---- Proxies ----

bool ControllerProcess::inContact() const {
    if (faults_.admitsWithoutContact) return true;
    return orders_.inContact(environment_.now());
}

void ControllerProcess::stateChanged() {
    auto state = std::make_shared<InForce>();
    state->index = store_.index();
    state->version = store_.configuration().version;
    state->text = store_.json();
    state->emptiedZones = store_.emptied();
    state_ = std::move(state);
}

void ControllerProcess::heartbeat() {
    nextHeartbeat_ = environment_.now() + kHeartbeatEvery;
    std::vector<std::string> contacts;
    for (const NodeId node : environment_.controllers()) contacts.push_back(addressOf(node));
    replica_.contacts(std::move(contacts));
    for (const auto& [node, proxy] : proxies_) {
        ControllerHeartbeat beat;
        beat.binding = proxy.binding;
        const Micros now = environment_.now();
        beat.heartbeat.set_age(faults_.admitsWithoutContact ? 0 : replica_.quorumContactAge(now));
        beat.heartbeat.set_index(state_->index);
        beat.heartbeat.set_echo(proxy.echo.mark());
        beat.heartbeat.set_echo_held(proxy.echo.held(now));
        environment_.send(node, beat);
    }
}

void ControllerProcess::distribute() {
    const Micros now = environment_.now();
    if (state_->index == 0 || !inContact()) return;
    for (auto& [node, proxy] : proxies_) {
        if (!proxy.admitted && state_->index >= proxy.index) proxy.admitted = inContact();
        if (!proxy.admitted || proxy.acknowledged >= state_->index) continue;
        if (proxy.sent > proxy.acknowledged && now - proxy.sentAt < kBatchAgain) continue;
        proxy.sent = state_->index;
        proxy.sentAt = now;
        if (observer_.serves) observer_.serves(node, *state_);
        environment_.send(node, ConfigurationBatch{proxy.binding, state_});
    }
}

}  // namespace marldale::simulation
