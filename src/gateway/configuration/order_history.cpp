#include "gateway/configuration/order_history.h"

#include <xxhash.h>

#include <utility>

namespace marldale::configuration {

OrderDigest digestOf(std::string_view bytes) {
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.low64, hash.high64};
}

bool OrderHistory::baseMayBecomeCurrent(const OrderIdentity& order, std::uint64_t current) const {
    // Versions only increase: an earlier version never becomes current again.
    return order.builtOn > current;
}

Verdict OrderHistory::judge(const OrderIdentity& order, std::uint64_t current) const {
    const auto before = accepted_.find(order.version);
    const bool numberTaken = before != accepted_.end();
    if (numberTaken && (faults_.ignoresDigest || before->second == order.digest)) return Verdict::already;
    if (order.version <= order.builtOn) return Verdict::invalid;
    if (numberTaken) return Verdict::stale;
    if (order.version <= lastDroppedVersion_)
        return faults_.forgetsTaken ? Verdict::stale : Verdict::undecided;
    if (staleOrders_.count(order) != 0) return Verdict::stale;
    if (order.builtOn == current) return Verdict::taken;
    const bool full = staleOrders_.size() >= limits_.refused && !faults_.forgetsRefused;
    // An order must not be refused if the refusal cannot be remembered.
    if (baseMayBecomeCurrent(order, current) && full) return Verdict::undecided;
    return Verdict::stale;
}

Verdict OrderHistory::decide(const OrderIdentity& order, std::uint64_t current) {
    const Verdict verdict = judge(order, current);
    if (verdict == Verdict::taken) recordTaken(order);
    if (verdict == Verdict::stale && baseMayBecomeCurrent(order, current) && !faults_.forgetsRefused)
        staleOrders_.insert(order);
    return verdict;
}

void OrderHistory::recordTaken(const OrderIdentity& order) {
    accepted_[order.version] = order.digest;
    const std::size_t limit = faults_.forgetsTaken ? 1 : limits_.taken;
    while (accepted_.size() > limit) {
        lastDroppedVersion_ = accepted_.begin()->first;
        accepted_.erase(accepted_.begin());
    }
    // `staleOrders_` is sorted by `builtOn`. Orders built on a version below the current one are stale
    // anyway, so their records can be dropped.
    while (!staleOrders_.empty() && staleOrders_.begin()->builtOn < order.version)
        staleOrders_.erase(staleOrders_.begin());
}

void OrderHistory::resetTo(const OrderIdentity& current) {
    accepted_ = {{current.version, current.digest}};
    staleOrders_.clear();
    lastDroppedVersion_ = current.version == 0 ? 0 : current.version - 1;
}

void OrderHistory::encode(std::string& out) const {
    bytes::putVar(out, lastDroppedVersion_);
    bytes::putVar(out, accepted_.size());
    for (const auto& [version, digest] : accepted_) {
        bytes::putVar(out, version);
        bytes::putFixed(out, digest.low);
        bytes::putFixed(out, digest.high);
    }
    bytes::putVar(out, staleOrders_.size());
    for (const OrderIdentity& order : staleOrders_) {
        bytes::putVar(out, order.builtOn);
        bytes::putVar(out, order.version);
        bytes::putFixed(out, order.digest.low);
        bytes::putFixed(out, order.digest.high);
    }
}

void OrderHistory::decode(bytes::Reader& from) {
    OrderHistory next(limits_, faults_);
    next.lastDroppedVersion_ = from.var();
    for (std::uint64_t remaining = from.var(); from.good() && remaining > 0; --remaining) {
        const std::uint64_t version = from.var();
        const std::uint64_t low = from.fixed();
        next.accepted_[version] = {low, from.fixed()};
    }
    for (std::uint64_t remaining = from.var(); from.good() && remaining > 0; --remaining) {
        OrderIdentity order;
        order.builtOn = from.var();
        order.version = from.var();
        order.digest.low = from.fixed();
        order.digest.high = from.fixed();
        next.staleOrders_.insert(order);
    }
    if (from.good()) *this = std::move(next);
}

}  // namespace marldale::configuration
