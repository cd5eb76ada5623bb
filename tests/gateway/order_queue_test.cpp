// Calls that wait for the log, by hand-made events of the log and virtual time.
#include <catch2/catch.hpp>

#include "gateway/controller/order_queue.h"

namespace marldale::controller {
namespace {

using configuration::Verdict;

constexpr Micros kSecond = 1000000;

// A log that does what the test says.
struct FakeLog final : ReplicatedLog {
    bool isLeader = true, takesEntries = true;
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
        if (!takesEntries) return std::nullopt;
        return ++last;
    }
    void read(Micros, std::uint64_t ticket) override { tickets.push_back(ticket); }
};

struct Fixture {
    FakeLog log;
    OrderQueue queue{log, {}};
    // The one reply that is there; fails if there is another number of them.
    OrderReply only() {
        const auto replies = queue.takeReplies();
        REQUIRE(replies.size() == 1);
        return replies[0];
    }
    void onlyUnavailable(UnavailableReason reason) {
        const OrderReply reply = only();
        CHECK(reply.outcome == OrderOutcome::unavailable);
        CHECK(reply.reason == reason);
    }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "An order is answered by its committed entry's verdict alone", "[orders]") {
    const std::vector<std::pair<Verdict, OrderOutcome>> all = {
        {Verdict::taken, OrderOutcome::confirmed},       {Verdict::already, OrderOutcome::confirmed},
        {Verdict::stale, OrderOutcome::rejectedStale},   {Verdict::invalid, OrderOutcome::invalid},
        {Verdict::undecided, OrderOutcome::unavailable},
    };
    for (const auto& [verdict, outcome] : all) {
        queue.submit(0, 7, "order");
        CHECK(queue.takeReplies().empty());
        queue.committed(log.last, log.currentTerm, verdict);
        const OrderReply reply = only();
        CHECK(reply.id == 7);
        CHECK(reply.outcome == outcome);
    }
    CHECK(queue.pending() == 0);
}

TEST_CASE_METHOD(Fixture, "Another term's entry at the place leaves an order unclear", "[orders]") {
    queue.submit(0, 1, "order");
    queue.committed(log.last, log.currentTerm + 1, Verdict::stale);
    onlyUnavailable(UnavailableReason::leadershipLost);
}

TEST_CASE_METHOD(Fixture, "A deposed leader in contact still answers what is committed", "[orders]") {
    queue.submit(0, 1, "order");
    log.isLeader = false;
    log.knownLeader = "10.0.0.2:7000";
    log.contactAt = kSecond;
    queue.update(kSecond);
    CHECK(queue.takeReplies().empty());
    queue.committed(log.last, log.currentTerm, Verdict::taken);
    CHECK(only().outcome == OrderOutcome::confirmed);
}

TEST_CASE_METHOD(Fixture, "What isn't committed in time is unclear, never refused", "[orders]") {
    queue.submit(0, 1, "order");
    log.contactAt = 5 * kSecond;
    queue.update(queue.nextDue() - 1);
    CHECK(queue.takeReplies().empty());
    queue.update(queue.nextDue());
    onlyUnavailable(UnavailableReason::timedOut);
}

TEST_CASE_METHOD(Fixture, "A snapshot over a waiting order's place leaves it unclear", "[orders]") {
    queue.submit(0, 1, "order");
    queue.submit(0, 2, "order");
    queue.installed(log.last - 1);
    CHECK(only().id == 1);
    queue.installed(log.last);
    onlyUnavailable(UnavailableReason::leadershipLost);
}

TEST_CASE_METHOD(Fixture, "Cut off for twenty seconds, a former leader confirms and refuses nothing",
                 "[orders]") {
    queue.submit(0, 1, "order");
    queue.read(0, 2);
    // It steps down by itself; it still remembers who led last.
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
    CHECK(only().outcome == OrderOutcome::redirect);
}

TEST_CASE_METHOD(Fixture, "A leader that was frozen begins nothing after its thaw", "[orders]") {
    // The call waited in the socket; no timer has run yet, so it still takes itself for the leader.
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
    CHECK(only().outcome == OrderOutcome::confirmed);
}

TEST_CASE_METHOD(Fixture, "Without a leader a call waits a while in contact, and is let go then",
                 "[orders]") {
    log.isLeader = false;
    log.knownLeader.reset();
    queue.submit(0, 1, "order");
    CHECK(queue.takeReplies().empty());
    SECTION("a leader is found") {
        log.knownLeader = "10.0.0.2:7000";
        queue.update(1000);
        const OrderReply reply = only();
        CHECK(reply.outcome == OrderOutcome::redirect);
        CHECK(reply.leader == "10.0.0.2:7000");
    }
    SECTION("none is found") {
        queue.update(queue.nextDue());
        onlyUnavailable(UnavailableReason::noLeader);
    }
    SECTION("this one is elected") {
        log.isLeader = true;
        queue.update(1000);
        CHECK(log.last == 11);
    }
}

TEST_CASE_METHOD(Fixture, "A read is answered by its own round", "[orders]") {
    queue.read(0, 1);
    queue.read(0, 2);
    REQUIRE(log.tickets.size() == 2);
    queue.readEnded({log.tickets[1], true, 10});
    const OrderReply sure = only();
    CHECK(sure.id == 2);
    CHECK(sure.outcome == OrderOutcome::readConfirmed);
    queue.readEnded({log.tickets[0], false, 0});
    onlyUnavailable(UnavailableReason::leadershipLost);
    queue.readEnded({log.tickets[0], true, 10});
    CHECK(queue.takeReplies().empty());
}

TEST_CASE_METHOD(Fixture, "A stop takes no calls, and ends those that wait as unclear", "[orders]") {
    queue.submit(0, 1, "order");
    queue.stop();
    queue.submit(0, 2, "order");
    CHECK(only().id == 2);
    queue.finish();
    onlyUnavailable(UnavailableReason::stopping);
}

TEST_CASE_METHOD(Fixture, "A log that takes nothing leaves an order unclear", "[orders]") {
    log.takesEntries = false;
    queue.submit(0, 1, "order");
    onlyUnavailable(UnavailableReason::logRefused);
}

TEST_CASE("The planted faults of the queue show", "[orders]") {
    FakeLog log;
    OrderQueueFaults faults;
    SECTION("an order that is confirmed before it is committed") {
        faults.confirmsOnPropose = true;
        OrderQueue queue(log, {}, faults);
        queue.submit(0, 1, "order");
        CHECK(queue.takeReplies().at(0).outcome == OrderOutcome::confirmed);
    }
    SECTION("an unclear order that is refused") {
        faults.rejectsUnavailable = true;
        OrderQueue queue(log, {}, faults);
        queue.submit(0, 1, "order");
        queue.committed(log.last, log.currentTerm + 1, Verdict::taken);
        CHECK(queue.takeReplies().at(0).outcome == OrderOutcome::rejectedStale);
    }
    SECTION("a read without a round") {
        faults.answersWithoutContact = true;
        OrderQueue queue(log, {}, faults);
        queue.read(20 * kSecond, 1);
        CHECK(queue.takeReplies().at(0).outcome == OrderOutcome::readConfirmed);
    }
}

}  // namespace marldale::controller
