// Tests of the retry decision, exhaustively against a second statement of its rules and in a model of
// requests, boxes and faults; and of the retry budgets and the body quota over random histories.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "attempts/body_quota.h"
#include "attempts/retry_budgets.h"
#include "attempts/retry_decision.h"

namespace marldale::attempts {
namespace {

constexpr Micros kSecond = 1000000;

// ---- The decision ----

TEST(DecideRetry, AgreesWithTheRulesForEveryContext) {
    std::size_t retries = 0, all = 0;
    for (const Proof proof : {Proof::ran, Proof::notRun, Proof::unknown}) {
        for (const bool failed : {false, true}) {
            for (const Repeat repeat : {Repeat::retryable, Repeat::dedup, Repeat::fragile}) {
                for (const bool key : {false, true}) {
                    for (const Micros since :
                         {Micros{-1}, Micros{0}, 4 * kSecond, 5 * kSecond, 6 * kSecond}) {
                        for (const BodyState body :
                             {BodyState::whole, BodyState::arriving, BodyState::gone}) {
                            for (unsigned tries = 1; tries <= 3; ++tries) {
                                for (unsigned mode = 0; mode <= 3; ++mode) {
                                    for (const Micros left : {Micros{0}, kSecond}) {
                                        const RetryContext context{proof, failed,      repeat,  key,
                                                                   since, 6 * kSecond, kSecond, body,
                                                                   tries, mode,        left};
                                        const bool retry =
                                            attempts::decideRetry(context) == RetryDecision::retry;
                                        ++all;
                                        retries += retry ? 1 : 0;
                                        // The rules, stated a second time.
                                        const bool worthwhile =
                                            proof == Proof::notRun || (failed && mode >= 2);
                                        const bool harmless = proof == Proof::notRun ||
                                                              repeat == Repeat::retryable ||
                                                              (repeat == Repeat::dedup && key && since >= 0 &&
                                                               since < 5 * kSecond);
                                        const bool ordered = tries < (mode == 0 ? 1U : mode == 3 ? 3U : 2U);
                                        const bool answered = proof == Proof::ran && !failed;
                                        EXPECT_EQ(
                                            retry,
                                            !answered &&
                                                (worthwhile || (proof == Proof::unknown && mode >= 2)) &&
                                                harmless && ordered && left > 0 && body != BodyState::gone)
                                            << name(attempts::decideRetry(context));
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
    }
    EXPECT_GT(retries, 0U);
    EXPECT_LT(retries, all / 4);
}

// ---- An exhaustive model ----

// How a try can end, and whether the request has run.
enum class End { refused, good, failedAfterEffect, saysNotRun, breaksAfterEffect, breaksBefore, timesOut };
constexpr std::array kEnds = {
    End::refused,           End::good,         End::failedAfterEffect, End::saysNotRun,
    End::breaksAfterEffect, End::breaksBefore, End::timesOut};

struct Request {
    std::uint8_t phase = 0;  // 0: not sent yet, 1: in flight, 2: finished
    std::uint8_t tries = 0, box = 0, effects = 0, late = 0, ends = 0;  // late: effects that may still happen
    bool bodyGone = false, sentWithoutBody = false;
    auto operator<=>(const Request&) const = default;
};
struct State {
    std::vector<Request> requests;
    std::uint8_t faults = 0;
    auto operator<=>(const State&) const = default;
};

struct Rules {  // under test; PlantedBugsAreFound replaces them by wrong ones
    std::function<Proof(End)> proof;
    std::function<RetryDecision(const RetryContext&)> decide;
};
Proof proofOf(End end) {
    if (end == End::refused || end == End::saysNotRun) return Proof::notRun;
    return end == End::good || end == End::failedAfterEffect ? Proof::ran : Proof::unknown;
}
Rules realRules() { return {proofOf, decideRetry}; }

struct Exploration {
    std::size_t states = 0;
    std::set<std::string> violations;
};

class Explorer {
public:
    Explorer(Rules rules, Repeat repeat, std::size_t requests)
        : rules_(std::move(rules)), repeat_(repeat), count_(requests) {}
    Exploration run() {
        visit({std::vector<Request>(count_), 0});
        while (!open_.empty()) {
            const State state = open_.back();
            open_.pop_back();
            step(state);
        }
        out_.states = seen_.size();
        return out_;
    }

private:
    void visit(State state) {
        // Requests are interchangeable, so only one order of them needs to be explored.
        std::sort(state.requests.begin(), state.requests.end());
        for (std::size_t i = 0; i < count_; ++i) {
            const Request& r = state.requests[i];
            if (repeat_ == Repeat::fragile && r.effects > 1) out_.violations.insert("took effect twice");
            if (r.sentWithoutBody) out_.violations.insert("sent without its body");
            if (r.tries > 3) out_.violations.insert("more tries than the mode allows");
            if (r.ends > 1 || (r.phase == 2) != (r.ends == 1))
                out_.violations.insert("did not end exactly once");
        }
        if (seen_.insert(state).second) open_.push_back(state);
    }
    void step(const State& state) {
        for (std::size_t i = 0; i < count_; ++i) {
            const Request& r = state.requests[i];
            if (r.phase == 0) {
                for (const std::uint8_t box : {0, 1}) change(state, i, [&](Request& n) { send(n, box); });
            }
            if (r.late > 0) {
                change(state, i, [](Request& n) {
                    --n.late;
                    ++n.effects;
                });
                change(state, i, [](Request& n) { --n.late; });  // or it never happens
            }
            if (r.phase != 1) continue;
            if (!r.bodyGone) change(state, i, [](Request& n) { n.bodyGone = true; });
            for (const End end : kEnds) {
                const bool fault =
                    end == End::breaksAfterEffect || end == End::breaksBefore || end == End::timesOut;
                if (fault && state.faults == 2) continue;
                State next = state;
                next.faults = static_cast<std::uint8_t>(next.faults + (fault ? 1 : 0));
                ended(next.requests[i], end);
                visit(next);
            }
        }
    }
    template <class Change>
    void change(const State& state, std::size_t i, const Change& apply) {
        State next = state;
        apply(next.requests[i]);
        visit(next);
    }
    static void send(Request& r, std::uint8_t box) {
        r.phase = 1;
        r.box = box;
        ++r.tries;
        r.sentWithoutBody = r.sentWithoutBody || r.bodyGone;
    }
    void ended(Request& r, End end) const {
        if (end == End::good || end == End::failedAfterEffect || end == End::breaksAfterEffect) ++r.effects;
        if (end == End::timesOut) ++r.late;
        RetryContext context;
        context.proof = rules_.proof(end);
        context.failed = end != End::good;
        context.repeat = repeat_;
        context.body = r.bodyGone ? BodyState::gone : BodyState::arriving;
        context.tries = r.tries;
        context.mode = 3;
        context.timeLeft = kSecond;
        if (rules_.decide(context) == RetryDecision::retry)
            return send(r, static_cast<std::uint8_t>(1 - r.box));
        r.phase = 2;
        ++r.ends;
    }
    const Rules rules_;
    const Repeat repeat_;
    const std::size_t count_;
    std::set<State> seen_;
    std::vector<State> open_;
    Exploration out_;
};

TEST(RetryModel, NoInterleavingOfThreeRequestsTwoBoxesAndTwoFaultsViolatesARule) {
    for (const Repeat repeat : {Repeat::fragile, Repeat::retryable}) {
#ifdef __SANITIZE_ADDRESS__
        const Exploration all = Explorer(realRules(), repeat, 2).run();
#else
        const Exploration all = Explorer(realRules(), repeat, 3).run();
#endif
        EXPECT_TRUE(all.violations.empty()) << *all.violations.begin();
        EXPECT_GT(all.states, 500U);
        std::printf("%zu states explored, %s\n", all.states,
                    repeat == Repeat::fragile ? "fragile" : "retryable");
    }
}

TEST(RetryModel, PlantedBugsAreFound) {
    const auto found = [](Rules rules, const std::string& what) {
        const Exploration all = Explorer(std::move(rules), Repeat::fragile, 1).run();
        return all.violations.count(what) == 1;
    };
    Rules breaks = realRules(), timeouts = realRules(), errors = realRules(), body = realRules(),
          limit = realRules(), fragile = realRules();
    breaks.proof = [](End e) { return e == End::breaksAfterEffect ? Proof::notRun : proofOf(e); };
    EXPECT_TRUE(found(breaks, "took effect twice"))
        << "a broken connection taken as proof that it has not run";
    timeouts.proof = [](End e) { return e == End::timesOut ? Proof::notRun : proofOf(e); };
    EXPECT_TRUE(found(timeouts, "took effect twice")) << "a timeout taken as proof that it has not run";
    errors.proof = [](End e) { return e == End::failedAfterEffect ? Proof::notRun : proofOf(e); };
    EXPECT_TRUE(found(errors, "took effect twice")) << "an error response taken as proof that it has not run";
    body.decide = [](RetryContext context) {
        context.body = BodyState::whole;
        return decideRetry(context);
    };
    EXPECT_TRUE(found(body, "sent without its body"));
    limit.decide = [](RetryContext context) {
        context.tries = 1;
        return decideRetry(context);
    };
    EXPECT_TRUE(found(limit, "more tries than the mode allows"));
    fragile.decide = [](RetryContext context) {
        context.repeat = Repeat::retryable;
        return decideRetry(context);
    };
    EXPECT_TRUE(found(fragile, "took effect twice")) << "the class is ignored";
}

// ---- Retry budgets ----

TEST(Budgets, ARetryThatOneBudgetRefusesTakesFromNone) {
    RetryBudgets::Settings settings;
    settings.overAll = {0, 3};
    settings.ofClass = {0, 2};
    settings.ofClient = {0, 100};
    settings.ofBox = {0, 100};
    settings.stormAt = 2;
    RetryBudgets budgets(settings, 2);
    EXPECT_TRUE(budgets.take(0, 1, 1, 0));
    EXPECT_TRUE(budgets.take(0, 1, 1, 0));
    for (int i = 0; i < 5; ++i) EXPECT_FALSE(budgets.take(0, 1, 1, 0)) << "its class has no tokens left";
    EXPECT_TRUE(budgets.take(1, 1, 1, 0)) << "the refused retries took nothing from the total";
    EXPECT_FALSE(budgets.take(1, 1, 1, 0)) << "the total has no tokens left";
}

TEST(Budgets, EachClientAndEachBoxHasItsOwn) {
    RetryBudgets::Settings settings;
    settings.overAll = settings.ofClass = {0, 1000};
    settings.ofClient = {0, 2};
    settings.ofBox = {0, 3};
    settings.stormAt = 2;
    RetryBudgets budgets(settings, 1);
    EXPECT_TRUE(budgets.take(0, 1, 1, 0) && budgets.take(0, 1, 2, 0));
    EXPECT_FALSE(budgets.take(0, 1, 3, 0));
    EXPECT_TRUE(budgets.take(0, 2, 1, 0) && budgets.take(0, 3, 1, 0));
    EXPECT_FALSE(budgets.take(0, 4, 1, 0)) << "the box has had its three retries";
    settings.maxKeys = 10;
    RetryBudgets many(settings, 1);
    for (std::uint64_t c = 0; c < 10000; ++c) many.firstTry(0, c, c, 0);
    EXPECT_EQ(many.keys(), 20U) << "the number of buckets is bounded";
}

TEST(Budgets, ARetryStormStopsRetriesUntilItIsOver) {
    RetryBudgets::Settings settings;
    settings.overAll = settings.ofClass = settings.ofClient = settings.ofBox = {1, 100000};
    RetryBudgets budgets(settings, 1);
    Micros now = 0;
    const auto playSecond = [&](int firstTries, int retries) {
        int granted = 0;
        for (int i = 0; i < firstTries; ++i) budgets.firstTry(0, 1, 1, now);
        for (int i = 0; i < retries; ++i) granted += budgets.take(0, 1, 1, now) ? 1 : 0;
        now += kSecond;
        return granted;
    };
    EXPECT_EQ(playSecond(100, 40), 40);
    EXPECT_LT(playSecond(100, 300), 150);
    EXPECT_TRUE(budgets.storm());
    EXPECT_EQ(playSecond(100, 60), 0) << "still more than a quarter of all tries";
    EXPECT_EQ(playSecond(100, 20), 0) << "the second before it decides";
    EXPECT_EQ(playSecond(100, 20), 20);
    EXPECT_FALSE(budgets.storm());
}

RC_GTEST_PROP(Budgets, RetriesNeverExceedTheirShareOfAllRequests, ()) {
    RetryBudgets::Settings settings;
    RetryBudgets budgets(settings, 2);
    double firstTries = 0, retries = 0;
    Micros now = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<bool, int, int, int>>>(
        rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 2), rc::gen::inRange(0, 5),
                       rc::gen::inRange(0, 100000)));
    for (const auto& [isFirst, klass, key, wait] : steps) {
        now += wait;
        const auto k = static_cast<std::size_t>(klass);
        const auto id = static_cast<std::uint64_t>(key);
        if (isFirst) budgets.firstTry(k, id, id, now);
        firstTries += isFirst ? 1 : 0;
        if (!isFirst && budgets.take(k, id, id, now)) ++retries;
        RC_ASSERT(retries <= settings.overAll.most + settings.overAll.ratio * firstTries + 1e-6);
    }
}

// ---- Body quota ----

TEST(Quota, LimitsEachBodyAndEvictsFromClientsAboveTheirFairShare) {
    BodyQuota quota({100, 60});
    quota.open(1, 7, 1);
    quota.open(2, 7, 1);
    EXPECT_TRUE(quota.reserve(1, 60).granted);
    EXPECT_FALSE(quota.reserve(1, 1).granted) << "one byte more than a body may have";
    EXPECT_EQ(quota.used(), 0U) << "all of the body is freed at once";
    EXPECT_FALSE(quota.reserve(1, 1).granted) << "a body that is gone does not come back";
    quota.open(3, 7, 1);
    EXPECT_TRUE(quota.reserve(2, 50).granted);
    EXPECT_TRUE(quota.reserve(3, 50).granted);
    quota.open(4, 8, 1);
    const auto grant = quota.reserve(4, 40);
    EXPECT_TRUE(grant.granted);
    EXPECT_EQ(grant.evicted.size(), 1U) << "the other client is above its fair share";
    EXPECT_EQ(quota.used(), 90U);
    quota.open(5, 8, 1);
    EXPECT_FALSE(quota.reserve(5, 20).granted) << "above its own share it only gets free memory";
    quota.open(6, 7, 9);
    quota.release(4);
    EXPECT_TRUE(quota.reserve(6, 50).granted);
    EXPECT_TRUE(quota.resize(40).size() == 2U && quota.used() == 0U);
}

RC_GTEST_PROP(Quota, IsNeverExceededAndAFairShareIsAlwaysGranted, ()) {
    BodyQuota quota({1000, 300});
    struct Expected {
        std::uint64_t client;
        std::size_t bytes = 0;
        bool gone = false;
    };
    std::map<BodyId, Expected> open;
    BodyId last = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, 10), rc::gen::inRange(0, 5), rc::gen::inRange(0, 200), rc::gen::inRange(1, 4)));
    for (const auto& [action, client, size, worth] : steps) {
        if (action == 0 || open.empty()) {
            open[++last] = {static_cast<std::uint64_t>(client)};
            quota.open(last, static_cast<std::uint64_t>(client), worth);
        }
        auto at = open.begin();
        std::advance(at, (client * 7 + size) % static_cast<int>(open.size()));
        if (action == 1) {
            quota.release(at->first);
            open.erase(at);
        } else if (action > 1) {
            std::size_t clientBytes = 0;
            for (const auto& [id, body] : open)
                clientBytes += body.client == at->second.client ? body.bytes : 0;
            const auto bytes = static_cast<std::size_t>(size);
            const bool withinShare =
                clientBytes + bytes <= quota.fairShare(at->second.client) && at->second.bytes + bytes <= 300;
            const bool wasGone = at->second.gone;
            const auto grant = quota.reserve(at->first, bytes);
            for (const BodyId id : grant.evicted) {
                RC_ASSERT(open.count(id) == 1 && id != at->first);
                open[id].gone = true;
                open[id].bytes = 0;
            }
            if (grant.granted) at->second.bytes += bytes;
            if (!grant.granted) at->second = {at->second.client, 0, true};
            RC_ASSERT(!(wasGone && grant.granted));
            if (withinShare && !wasGone) RC_ASSERT(grant.granted);
        }
        std::size_t sum = 0;
        for (const auto& [id, body] : open) {
            sum += body.bytes;
            RC_ASSERT(quota.kept(id) == body.bytes);
        }
        RC_ASSERT(quota.used() == sum && sum <= 1000U);
    }
}

}  // namespace
}  // namespace marldale::attempts
