// Checks that each order identity is decided only once, whatever the sequence of arrivals.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "gateway/configuration/configuration_store.h"

namespace marldale::configuration {
namespace {

OrderIdentity order(std::uint64_t version, std::uint64_t builtOn, std::string_view bytes) {
    return {builtOn, version, digestOf(bytes)};
}

// An order history with the current version, as in the state machine of the replicated log.
struct Register {
    explicit Register(OrderFaults faults = {}, OrderHistory::Limits limits = {}) : history(limits, faults) {}
    Verdict send(const OrderIdentity& order) {
        const Verdict verdict = history.decide(order, current);
        if (verdict == Verdict::taken) {
            current = order.version;
            inForce.push_back(order);
        }
        return verdict;
    }
    void restoreFromSnapshot() {
        std::string bytes;
        history.encode(bytes);
        bytes::Reader from(bytes, bytes.size());
        OrderHistory next;
        next.decode(from);
        REQUIRE(from.good());
        REQUIRE(from.empty());
        history = next;
    }
    OrderHistory history;
    std::uint64_t current = 0;
    std::vector<OrderIdentity> inForce;
};

// Checks the invariants over all answers; returns the violated one, or nothing.
std::optional<std::string> findViolation(const Register& result,
                                         const std::map<OrderIdentity, std::vector<Verdict>>& answers) {
    std::map<std::uint64_t, int> byVersion, byBase;
    for (const OrderIdentity& taken : result.inForce) {
        if (++byVersion[taken.version] > 1) return "two under one number";
        if (++byBase[taken.builtOn] > 1) return "two on one base";
    }
    for (const auto& [identity, verdicts] : answers) {
        const bool inForce =
            std::find(result.inForce.begin(), result.inForce.end(), identity) != result.inForce.end();
        for (const Verdict verdict : verdicts) {
            const bool confirmed = verdict == Verdict::taken || verdict == Verdict::already;
            const bool refused = verdict == Verdict::stale || verdict == Verdict::invalid;
            if (confirmed && !inForce) return "confirmed, and never in force";
            if (refused && inForce) return "refused, and in force";
        }
    }
    return std::nullopt;
}

// Two operators send two orders each, some with the same version, some on a base that is not current yet.
// Each order is sent twice, in every sequence of arrivals, with a snapshot at every second position. Returns
// the first violation.
std::optional<std::string> exploreArrivals(OrderFaults faults, std::size_t& sequences) {
    const std::array<OrderIdentity, 4> orders = {order(1, 0, "first"), order(1, 0, "other"),
                                                 order(2, 1, "next"), order(2, 1, "other next")};
    std::vector<std::size_t> arrivals = {0, 0, 1, 1, 2, 2, 3, 3};
    do {
        // At 0 there is no snapshot.
        for (std::size_t snapshotAt = 0; snapshotAt <= arrivals.size(); snapshotAt += 2) {
            ++sequences;
            Register result(faults);
            std::map<OrderIdentity, std::vector<Verdict>> answers;
            for (std::size_t at = 0; at < arrivals.size(); ++at) {
                if (snapshotAt != 0 && at == snapshotAt && faults.forgetsTaken == false &&
                    !faults.forgetsRefused && !faults.ignoresDigest)
                    result.restoreFromSnapshot();
                answers[orders[arrivals[at]]].push_back(result.send(orders[arrivals[at]]));
            }
            if (auto violation = findViolation(result, answers)) return violation;
        }
    } while (std::next_permutation(arrivals.begin(), arrivals.end()));
    return std::nullopt;
}

}  // namespace

TEST_CASE("Two operators with the same version get consistent answers in every sequence", "[orders]") {
    std::size_t sequences = 0;
    CHECK(exploreArrivals({}, sequences) == std::nullopt);
    CHECK(sequences == 2520 * 5);
}

TEST_CASE("The exhaustive sequences detect each injected fault of the history", "[orders]") {
    std::size_t sequences = 0;
    OrderFaults faults;
    faults.forgetsTaken = true;
    CHECK(exploreArrivals(faults, sequences).has_value());
    faults = {};
    faults.forgetsRefused = true;
    CHECK(exploreArrivals(faults, sequences).has_value());
    faults = {};
    faults.ignoresDigest = true;
    CHECK(exploreArrivals(faults, sequences).has_value());
}

TEST_CASE("An accepted order is confirmed again after thousands of others", "[orders]") {
    constexpr std::uint64_t kOthers = 5000;
    Register result;
    const OrderIdentity first = order(1, 0, "first");
    REQUIRE(result.send(first) == Verdict::taken);
    for (std::uint64_t version = 2; version <= kOthers; ++version)
        REQUIRE(result.send(order(version, version - 1, "text")) == Verdict::taken);
    CHECK(result.send(first) == Verdict::already);
    CHECK(result.send(order(1, 0, "other")) == Verdict::stale);
    result.restoreFromSnapshot();
    CHECK(result.send(first) == Verdict::already);
    CHECK(result.send(order(2, 1, "text")) == Verdict::already);
}

TEST_CASE("An order whose record was dropped is neither confirmed nor refused", "[orders]") {
    OrderHistory::Limits limits;
    limits.taken = 100;
    Register result({}, limits);
    for (std::uint64_t version = 1; version <= 300; ++version)
        REQUIRE(result.send(order(version, version - 1, "text")) == Verdict::taken);
    CHECK(result.history.takenCount() == 100);
    CHECK(result.send(order(200, 199, "text")) == Verdict::undecided);
    CHECK(result.send(order(201, 200, "text")) == Verdict::already);
}

TEST_CASE("A refused order stays refused when its base becomes current", "[orders]") {
    Register result;
    const OrderIdentity early = order(9, 5, "early");
    CHECK(result.send(early) == Verdict::stale);
    REQUIRE(result.send(order(5, 0, "base")) == Verdict::taken);
    CHECK(result.send(early) == Verdict::stale);
    result.restoreFromSnapshot();
    CHECK(result.send(early) == Verdict::stale);
    // The same change as a different order is accepted.
    CHECK(result.send(order(9, 5, "early, written anew")) == Verdict::taken);
    CHECK(result.history.refusedCount() == 0);
}

TEST_CASE("An order is not refused if the refusal cannot be remembered", "[orders]") {
    OrderHistory::Limits limits;
    limits.refused = 3;
    Register result({}, limits);
    for (std::uint64_t k = 0; k < 3; ++k) CHECK(result.send(order(20 + k, 10, "early")) == Verdict::stale);
    CHECK(result.send(order(30, 10, "early")) == Verdict::undecided);
    CHECK(result.send(order(20, 10, "early")) == Verdict::stale);
    CHECK(result.send(order(1, 0, "first")) == Verdict::taken);
}

TEST_CASE("An inconsistent order is invalid whatever version is current", "[orders]") {
    Register result;
    CHECK(result.send(order(3, 3, "same")) == Verdict::invalid);
    CHECK(result.send(order(2, 3, "below")) == Verdict::invalid);
    CHECK(result.send(order(0, 0, "none")) == Verdict::invalid);
}

TEST_CASE("An incomplete encoded history is not applied", "[orders]") {
    Register result;
    REQUIRE(result.send(order(1, 0, "first")) == Verdict::taken);
    REQUIRE(result.send(order(9, 5, "early")) == Verdict::stale);
    std::string bytes;
    result.history.encode(bytes);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        bytes::Reader from(std::string_view(bytes).substr(0, length), length);
        OrderHistory other;
        other.decode(from);
        CHECK_FALSE(from.good());
        CHECK(other.takenCount() == 0);
    }
}

}  // namespace marldale::configuration
