// The order queue, tested with a scripted log and virtual time.
#include <catch2/catch.hpp>

#include "gateway/controller/order_queue.h"

namespace marldale::controller {
namespace {

using configuration::Verdict;

constexpr Micros kSecond = 1000000;

// A log whose state and events are set by the test.
struct FakeLog final : ReplicatedLog {
    bool isLeader = true, acceptsEntries = true;
    std::optional<std::string> knownLeader = "10.0.0.1:7000";
    raft::Term currentTerm = 3;
    Micros contactAt = 0;  // -1: never
    raft::Index last = 10;
    std::vector<std::uint64_t> tickets;

    [[nodiscard]] bool leads() const override { return isLeader; }
    [[nodiscard]] std::optional<std::string> leader() const override { return knownLeader; }
    [[nodiscard]] raft::Term term() const override { return currentTerm; }
    [[nodiscard]] Micros quorumContactAge(Micros now) const override {
        return contactAt < 0 ? -1 : now - contactAt;
    }
    std::optional<raft::Index> propose(Micros, std::string) override {
        if (!acceptsEntries) return std::nullopt;
        return ++last;
    }
    void read(Micros, std::uint64_t ticket) override { tickets.push_back(ticket); }
};

struct Fixture {
    FakeLog log;
    OrderQueue queue{log, {}};
    // The only pending reply; fails if there is not exactly one.
    OrderReply onlyReply() {
        const auto replies = queue.takeReplies();
        REQUIRE(replies.size() == 1);
        return replies[0];
    }
    void expectOnlyUnavailable(UnavailableReason reason) {
        const OrderReply reply = onlyReply();
        CHECK(reply.outcome == OrderOutcome::unavailable);
        CHECK(reply.reason == reason);
    }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "An order is answered only by the verdict on its committed entry", "[orders]") {
    const std::vector<std::pair<Verdict, OrderOutcome>> all = {
        {Verdict::taken, OrderOutcome::confirmed},       {Verdict::already, OrderOutcome::confirmed},
        {Verdict::stale, OrderOutcome::rejectedStale},   {Verdict::invalid, OrderOutcome::invalid},
        {Verdict::undecided, OrderOutcome::unavailable},
    };
    for (const auto& [verdict, outcome] : all) {
        queue.submit(0, 7, "order");
        CHECK(queue.takeReplies().empty());
        queue.committed(log.last, log.currentTerm, verdict);
        const OrderReply reply = onlyReply();
        CHECK(reply.id == 7);
        CHECK(reply.outcome == outcome);
    }
    CHECK(queue.pending() == 0);
}

// Guards against an order that enters the log although its caller could not read it.
TEST_CASE_METHOD(Fixture, "An order known to be invalid never enters the log, and is refused only in contact",
                 "[orders]") {
    queue.submitInvalid(0, 1);
    CHECK(onlyReply().outcome == OrderOutcome::invalid);

    // Before the first contact it waits, as a valid order does.
    log.contactAt = -1;
    log.isLeader = false;
    log.knownLeader.reset();
    queue.submitInvalid(kSecond, 2);
    CHECK(queue.takeReplies().empty());
    log.contactAt = kSecond;
    log.isLeader = true;
    queue.update(kSecond + 1);
    CHECK(onlyReply().outcome == OrderOutcome::invalid);

    // Cut off, it is not refused.
    log.isLeader = false;
    queue.submitInvalid(20 * kSecond, 3);
    expectOnlyUnavailable(UnavailableReason::noQuorumContact);
    CHECK(log.last == 10);
}

TEST_CASE_METHOD(Fixture, "An entry of another term at the order's index leaves the order unavailable",
                 "[orders]") {
    queue.submit(0, 1, "order");
    queue.committed(log.last, log.currentTerm + 1, Verdict::stale);
    expectOnlyUnavailable(UnavailableReason::leadershipLost);
}

TEST_CASE_METHOD(Fixture, "A former leader in contact still answers orders that are committed", "[orders]") {
    queue.submit(0, 1, "order");
    log.isLeader = false;
    log.knownLeader = "10.0.0.2:7000";
    log.contactAt = kSecond;
    queue.update(kSecond);
    CHECK(queue.takeReplies().empty());
    queue.committed(log.last, log.currentTerm, Verdict::taken);
    CHECK(onlyReply().outcome == OrderOutcome::confirmed);
}

TEST_CASE_METHOD(Fixture, "An order not committed in time is unavailable, never rejected", "[orders]") {
    queue.submit(0, 1, "order");
    log.contactAt = 5 * kSecond;
    queue.update(queue.nextDue() - 1);
    CHECK(queue.takeReplies().empty());
    queue.update(queue.nextDue());
    expectOnlyUnavailable(UnavailableReason::timedOut);
}

TEST_CASE_METHOD(Fixture, "A snapshot that covers a pending order's index leaves it unavailable",
                 "[orders]") {
    queue.submit(0, 1, "order");
    queue.submit(0, 2, "order");
    queue.installed(log.last - 1);
    CHECK(onlyReply().id == 1);
    queue.installed(log.last);
    expectOnlyUnavailable(UnavailableReason::leadershipLost);
}

TEST_CASE_METHOD(Fixture, "Cut off for twenty seconds, a former leader confirms and rejects nothing",
                 "[orders]") {
    queue.submit(0, 1, "order");
    queue.read(0, 2);
    // It steps down by itself and still knows the last leader.
    log.isLeader = false;
    for (Micros now = 2 * kSecond; now < 20 * kSecond; now += kSecond) {
        queue.update(now);
        queue.submit(now, 3, "order");
        queue.read(now, 4);
        for (const OrderReply& reply : queue.takeReplies()) {
            CHECK(reply.outcome == OrderOutcome::unavailable);
            CHECK(reply.reason == UnavailableReason::noQuorumContact);
        }
        CHECK(queue.pending() == 0);
    }
    log.contactAt = 20 * kSecond;
    queue.submit(20 * kSecond, 5, "order");
    CHECK(onlyReply().outcome == OrderOutcome::redirect);
}

TEST_CASE_METHOD(Fixture, "A leader that was frozen starts no call when it resumes", "[orders]") {
    // The call waited in the socket, and no timer has run yet, so the member still believes that it leads.
    queue.submit(20 * kSecond, 1, "order");
    queue.read(20 * kSecond, 2);
    CHECK(log.last == 10);
    CHECK(log.tickets.empty());
    log.isLeader = false;
    log.knownLeader.reset();
    queue.update(20 * kSecond + 1);
    const auto replies = queue.takeReplies();
    REQUIRE(replies.size() == 2);
    for (const OrderReply& reply : replies) CHECK(reply.reason == UnavailableReason::noQuorumContact);
}

TEST_CASE_METHOD(Fixture, "A new leader begins once its first entry is committed", "[orders]") {
    queue.submit(2 * kSecond, 1, "order");
    CHECK(log.last == 10);
    log.contactAt = 2 * kSecond + 100;
    queue.update(2 * kSecond + 100);
    CHECK(log.last == 11);
    queue.committed(11, log.currentTerm, Verdict::taken);
    CHECK(onlyReply().outcome == OrderOutcome::confirmed);
}

TEST_CASE_METHOD(Fixture, "Without a known leader a call waits for a limited time", "[orders]") {
    log.isLeader = false;
    log.knownLeader.reset();
    queue.submit(0, 1, "order");
    CHECK(queue.takeReplies().empty());
    SECTION("a leader is found") {
        log.knownLeader = "10.0.0.2:7000";
        queue.update(1000);
        const OrderReply reply = onlyReply();
        CHECK(reply.outcome == OrderOutcome::redirect);
        CHECK(reply.leader == "10.0.0.2:7000");
    }
    SECTION("none is found") {
        queue.update(queue.nextDue());
        expectOnlyUnavailable(UnavailableReason::noLeader);
    }
    SECTION("this member is elected") {
        log.isLeader = true;
        queue.update(1000);
        CHECK(log.last == 11);
    }
}

TEST_CASE_METHOD(Fixture, "A read is answered by its own ReadIndex round", "[orders]") {
    queue.read(0, 1);
    queue.read(0, 2);
    REQUIRE(log.tickets.size() == 2);
    queue.readEnded({log.tickets[1], true, 10});
    const OrderReply sure = onlyReply();
    CHECK(sure.id == 2);
    CHECK(sure.outcome == OrderOutcome::readConfirmed);
    queue.readEnded({log.tickets[0], false, 0});
    expectOnlyUnavailable(UnavailableReason::leadershipLost);
    queue.readEnded({log.tickets[0], true, 10});
    CHECK(queue.takeReplies().empty());
}

TEST_CASE_METHOD(Fixture, "After a stop no call is accepted, and pending ones end as unavailable",
                 "[orders]") {
    queue.submit(0, 1, "order");
    queue.stop();
    queue.submit(0, 2, "order");
    CHECK(onlyReply().id == 2);
    queue.finish();
    expectOnlyUnavailable(UnavailableReason::stopping);
}

TEST_CASE_METHOD(Fixture, "An order that the log does not accept is unavailable", "[orders]") {
    log.acceptsEntries = false;
    queue.submit(0, 1, "order");
    expectOnlyUnavailable(UnavailableReason::logRefused);
}

TEST_CASE("Faults injected into the queue are visible in its replies", "[orders]") {
    FakeLog log;
    OrderQueueFaults faults;
    SECTION("an order that is confirmed before it is committed") {
        faults.confirmsOnPropose = true;
        OrderQueue queue(log, {}, faults);
        queue.submit(0, 1, "order");
        CHECK(queue.takeReplies().at(0).outcome == OrderOutcome::confirmed);
    }
    SECTION("an unavailable order that is answered as rejected") {
        faults.rejectsUnavailable = true;
        OrderQueue queue(log, {}, faults);
        queue.submit(0, 1, "order");
        queue.committed(log.last, log.currentTerm + 1, Verdict::taken);
        CHECK(queue.takeReplies().at(0).outcome == OrderOutcome::rejectedStale);
    }
    SECTION("a read without a ReadIndex round") {
        faults.answersWithoutContact = true;
        OrderQueue queue(log, {}, faults);
        queue.read(20 * kSecond, 1);
        CHECK(queue.takeReplies().at(0).outcome == OrderOutcome::readConfirmed);
    }
}

}  // namespace marldale::controller
