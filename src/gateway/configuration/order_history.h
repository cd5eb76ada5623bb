// The history of decided orders, which backs the compare-and-set register of configurations. An order is
// identified by its version, the version that it is built on, and a digest of its bytes. Each identity is
// decided at most once, so that a repeated order gets the same answer: an accepted order is never refused
// later, and a refused one is never accepted later. Part of the replicated state: all members reach the same
// decisions, and snapshots contain it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "bytes/varint.h"

namespace marldale::configuration {

/// A 128-bit hash (XXH3), which makes accidental collisions within a deployment negligible.
struct OrderDigest {
    std::uint64_t low = 0, high = 0;
    friend auto operator<=>(const OrderDigest&, const OrderDigest&) = default;
};
/// Returns the digest of an order's bytes.
[[nodiscard]] OrderDigest digestOf(std::string_view bytes);

/// Identifies an order.
struct OrderIdentity {
    std::uint64_t builtOn = 0;
    std::uint64_t version = 0;
    OrderDigest digest;
    friend auto operator<=>(const OrderIdentity&, const OrderIdentity&) = default;
};

/// The decision on an order.
enum class Verdict {
    taken,      // accepted, in force now
    already,    // the identical order was accepted before
    stale,      // another version is current
    invalid,    // inconsistent, whatever version is current
    undecided,  // its record was dropped: it may have been accepted, so it is neither confirmed nor refused
};

/// Faults injected by tests and by the simulation; all off in production.
struct OrderFaults {
    bool forgetsTaken = false;    // only the latest accepted order is recognized
    bool forgetsRefused = false;  // a refused order may be accepted later
    bool ignoresDigest = false;   // the version number alone identifies an order
};

/// Decides orders and remembers the decisions.
class OrderHistory {
public:
    /// The maximum numbers of remembered orders.
    struct Limits {
        // The latest accepted orders; each takes 16 bytes and its version, in memory and in snapshots.
        std::size_t taken = 8192;
        // Refused orders that are built on a version which may still become current.
        std::size_t refused = 1024;
    };
    OrderHistory() = default;
    explicit OrderHistory(Limits limits, OrderFaults faults = {}) : limits_(limits), faults_(faults) {}

    /// Returns the verdict on the order if `current` is the version in force (0: none).
    [[nodiscard]] Verdict judge(const OrderIdentity& order, std::uint64_t current) const;
    /// Decides an order from the log and remembers the verdict.
    Verdict decide(const OrderIdentity& order, std::uint64_t current);

    /// Replaces the history for a state without identities: of the orders up to `current`, only that one is
    /// known.
    void resetTo(const OrderIdentity& current);

    /// Return the number of remembered orders.
    [[nodiscard]] std::size_t takenCount() const { return accepted_.size(); }
    [[nodiscard]] std::size_t refusedCount() const { return staleOrders_.size(); }

    /// Appends the encoded history.
    void encode(std::string& out) const;
    /// Reads an encoded history. If it is incomplete, this history is unchanged and `from` is not good.
    void decode(bytes::Reader& from);

private:
    [[nodiscard]] bool baseMayBecomeCurrent(const OrderIdentity& order, std::uint64_t current) const;
    void recordTaken(const OrderIdentity& order);

    Limits limits_;
    OrderFaults faults_;
    std::map<std::uint64_t, OrderDigest> accepted_;  // by version
    std::uint64_t lastDroppedVersion_ = 0;           // the highest version whose record was dropped
    std::set<OrderIdentity> staleOrders_;            // only those whose base may still become current
};

}  // namespace marldale::configuration
