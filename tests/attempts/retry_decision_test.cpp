// May it be tried again: the one function against a plain statement of it, an exhaustive model with planted
// bugs, budgets and room over random histories.
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

// ---- The function ----

TEST(Again, ForEveryQuestionItSaysWhatIsStated) {
    std::size_t yes = 0, all = 0;
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
                                        const RetryContext q{proof, failed,      repeat,  key,
                                                             since, 6 * kSecond, kSecond, body,
                                                             tries, mode,        left};
                                        const bool again = attempts::decideRetry(q) == RetryDecision::retry;
                                        ++all;
                                        yes += again ? 1 : 0;
                                        // Said once more, as a person would.
                                        const bool wanted = proof == Proof::notRun || (failed && mode >= 2);
                                        const bool harmless = proof == Proof::notRun ||
                                                              repeat == Repeat::retryable ||
                                                              (repeat == Repeat::dedup && key && since >= 0 &&
                                                               since < 5 * kSecond);
                                        const bool ordered = tries < (mode == 0 ? 1U : mode == 3 ? 3U : 2U);
                                        const bool answered = proof == Proof::ran && !failed;
                                        EXPECT_EQ(
                                            again,
                                            !answered && (wanted || (proof == Proof::unknown && mode >= 2)) &&
                                                harmless && ordered && left > 0 && body != BodyState::gone)
                                            << name(attempts::decideRetry(q));
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
    }
    EXPECT_GT(yes, 0U);
    EXPECT_LT(yes, all / 4);
}

// ---- An exhaustive model ----

// How a try can end, and what that does.
enum class End { refused, good, failedAfterEffect, saysNotRun, breaksAfterEffect, breaksBefore, timesOut };
constexpr std::array kEnds = {
    End::refused,           End::good,         End::failedAfterEffect, End::saysNotRun,
    End::breaksAfterEffect, End::breaksBefore, End::timesOut};

struct Request {
    std::uint8_t phase = 0;                                            // 0: to come, 1: out, 2: over
    std::uint8_t tries = 0, box = 0, effects = 0, late = 0, ends = 0;  // late: effects that may still come
    bool bodyGone = false, sentWithoutBody = false;
    auto operator<=>(const Request&) const = default;
};
struct State {
    std::vector<Request> requests;
    std::uint8_t faults = 0;
    auto operator<=>(const State&) const = default;
};

struct Rules {  // what is under test, to be spoilt
    std::function<Proof(End)> proof;
    std::function<RetryDecision(const RetryContext&)> again;
};
Proof proofOf(End end) {
    if (end == End::refused || end == End::saysNotRun) return Proof::notRun;
    return end == End::good || end == End::failedAfterEffect ? Proof::ran : Proof::unknown;
}
Rules real() { return {proofOf, decideRetry}; }

struct Explored {
    std::size_t states = 0;
    std::set<std::string> broken;
};

class Explorer {
public:
    Explorer(Rules rules, Repeat repeat, std::size_t requests)
        : rules_(std::move(rules)), repeat_(repeat), count_(requests) {}
    Explored run() {
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
        // Requests and boxes are alike: one order of them stands for all.
        std::sort(state.requests.begin(), state.requests.end());
        for (std::size_t i = 0; i < count_; ++i) {
            const Request& r = state.requests[i];
            if (repeat_ == Repeat::fragile && r.effects > 1) out_.broken.insert("a second effect");
            if (r.sentWithoutBody) out_.broken.insert("sent without its body");
            if (r.tries > 3) out_.broken.insert("more tries than were ordered");
            if (r.ends > 1 || (r.phase == 2) != (r.ends == 1)) out_.broken.insert("not one end");
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
                change(state, i, [](Request& n) { --n.late; });  // or it never comes
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
    template <class Do>
    void change(const State& state, std::size_t i, const Do& what) {
        State next = state;
        what(next.requests[i]);
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
        RetryContext q;
        q.proof = rules_.proof(end);
        q.failed = end != End::good;
        q.repeat = repeat_;
        q.body = r.bodyGone ? BodyState::gone : BodyState::arriving;
        q.tries = r.tries;
        q.mode = 3;
        q.timeLeft = kSecond;
        if (rules_.again(q) == RetryDecision::retry) return send(r, static_cast<std::uint8_t>(1 - r.box));
        r.phase = 2;
        ++r.ends;
    }
    const Rules rules_;
    const Repeat repeat_;
    const std::size_t count_;
    std::set<State> seen_;
    std::vector<State> open_;
    Explored out_;
};

TEST(Model, NoInterleavingOfThreeRequestsTwoBoxesAndTwoFaultsBreaksAnything) {
    for (const Repeat repeat : {Repeat::fragile, Repeat::retryable}) {
#ifdef __SANITIZE_ADDRESS__
        const Explored all = Explorer(real(), repeat, 2).run();
#else
        const Explored all = Explorer(real(), repeat, 3).run();
#endif
        EXPECT_TRUE(all.broken.empty()) << *all.broken.begin();
        EXPECT_GT(all.states, 500U);
        std::printf("%zu states explored, %s\n", all.states,
                    repeat == Repeat::fragile ? "fragile" : "retryable");
    }
}

TEST(Model, PlantedBugsAreFound) {
    const auto found = [](Rules rules, const std::string& what) {
        const Explored all = Explorer(std::move(rules), Repeat::fragile, 1).run();
        return all.broken.count(what) == 1;
    };
    Rules breaks = real(), times = real(), failed = real(), body = real(), orders = real(), unknown = real();
    breaks.proof = [](End e) { return e == End::breaksAfterEffect ? Proof::notRun : proofOf(e); };
    EXPECT_TRUE(found(breaks, "a second effect")) << "a break taken for proof";
    times.proof = [](End e) { return e == End::timesOut ? Proof::notRun : proofOf(e); };
    EXPECT_TRUE(found(times, "a second effect")) << "silence taken for proof";
    failed.proof = [](End e) { return e == End::failedAfterEffect ? Proof::notRun : proofOf(e); };
    EXPECT_TRUE(found(failed, "a second effect")) << "an error taken for proof";
    body.again = [](RetryContext q) {
        q.body = BodyState::whole;
        return decideRetry(q);
    };
    EXPECT_TRUE(found(body, "sent without its body"));
    orders.again = [](RetryContext q) {
        q.tries = 1;
        return decideRetry(q);
    };
    EXPECT_TRUE(found(orders, "more tries than were ordered"));
    unknown.again = [](RetryContext q) {
        q.repeat = Repeat::retryable;
        return decideRetry(q);
    };
    EXPECT_TRUE(found(unknown, "a second effect")) << "a class forgotten";
}

// ---- Budgets ----

TEST(Budgets, WhatOneRefusesIsTakenFromNone) {
    RetryBudgets::Settings s;
    s.overAll = {0, 3};
    s.ofClass = {0, 2};
    s.ofClient = {0, 100};
    s.ofBox = {0, 100};
    s.stormAt = 2;
    RetryBudgets budgets(s, 2);
    EXPECT_TRUE(budgets.take(0, 1, 1, 0));
    EXPECT_TRUE(budgets.take(0, 1, 1, 0));
    for (int i = 0; i < 5; ++i) EXPECT_FALSE(budgets.take(0, 1, 1, 0)) << "its class is spent";
    EXPECT_TRUE(budgets.take(1, 1, 1, 0)) << "and nothing of the others'";
    EXPECT_FALSE(budgets.take(1, 1, 1, 0)) << "all is spent";
}

TEST(Budgets, AClientOrABoxSpendsItsOwn) {
    RetryBudgets::Settings s;
    s.overAll = s.ofClass = {0, 1000};
    s.ofClient = {0, 2};
    s.ofBox = {0, 3};
    s.stormAt = 2;
    RetryBudgets budgets(s, 1);
    EXPECT_TRUE(budgets.take(0, 1, 1, 0) && budgets.take(0, 1, 2, 0));
    EXPECT_FALSE(budgets.take(0, 1, 3, 0));
    EXPECT_TRUE(budgets.take(0, 2, 1, 0) && budgets.take(0, 3, 1, 0));
    EXPECT_FALSE(budgets.take(0, 4, 1, 0)) << "the box has had three";
    s.remembered = 10;
    RetryBudgets many(s, 1);
    for (std::uint64_t c = 0; c < 10000; ++c) many.firstTry(0, c, c, 0);
    EXPECT_EQ(many.remembered(), 20U) << "whoever asks, memory is bounded";
}

TEST(Budgets, AStormStopsRepeatsUntilItIsOver) {
    RetryBudgets::Settings s;
    s.overAll = s.ofClass = s.ofClient = s.ofBox = {1, 100000};
    RetryBudgets budgets(s, 1);
    Micros now = 0;
    const auto second = [&](int first, int repeats) {
        int granted = 0;
        for (int i = 0; i < first; ++i) budgets.firstTry(0, 1, 1, now);
        for (int i = 0; i < repeats; ++i) granted += budgets.take(0, 1, 1, now) ? 1 : 0;
        now += kSecond;
        return granted;
    };
    EXPECT_EQ(second(100, 40), 40);
    EXPECT_LT(second(100, 300), 150);
    EXPECT_TRUE(budgets.storm());
    EXPECT_EQ(second(100, 60), 0) << "still more than a quarter";
    EXPECT_EQ(second(100, 20), 0) << "the second before is what counts";
    EXPECT_EQ(second(100, 20), 20);
    EXPECT_FALSE(budgets.storm());
}

RC_GTEST_PROP(Budgets, OverAnyHistoryRepeatsStayUnderTheirShare, ()) {
    RetryBudgets::Settings s;
    RetryBudgets budgets(s, 2);
    double first = 0, repeats = 0;
    Micros now = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<bool, int, int, int>>>(
        rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 2), rc::gen::inRange(0, 5),
                       rc::gen::inRange(0, 100000)));
    for (const auto& [isFirst, klass, who, wait] : steps) {
        now += wait;
        const auto k = static_cast<std::size_t>(klass);
        const auto w = static_cast<std::uint64_t>(who);
        if (isFirst) budgets.firstTry(k, w, w, now);
        first += isFirst ? 1 : 0;
        if (!isFirst && budgets.take(k, w, w, now)) ++repeats;
        RC_ASSERT(repeats <= s.overAll.most + s.overAll.ratio * first + 1e-6);
    }
}

// ---- Room ----

TEST(Room, ALargeBodyCantStarveSmallOnesAndAnotherClientHasItsPart) {
    BodyQuota quota({100, 60});
    quota.open(1, 7, 1);
    quota.open(2, 7, 1);
    EXPECT_TRUE(quota.reserve(1, 60).granted);
    EXPECT_FALSE(quota.reserve(1, 1).granted) << "one byte over what one body may have";
    EXPECT_EQ(quota.used(), 0U) << "and all of it is free at once";
    EXPECT_FALSE(quota.reserve(1, 1).granted) << "gone is gone";
    quota.open(3, 7, 1);
    EXPECT_TRUE(quota.reserve(2, 50).granted);
    EXPECT_TRUE(quota.reserve(3, 50).granted);
    quota.open(4, 8, 1);
    const auto grant = quota.reserve(4, 40);
    EXPECT_TRUE(grant.granted);
    EXPECT_EQ(grant.evicted.size(), 1U) << "the other client has more than its part";
    EXPECT_EQ(quota.used(), 90U);
    quota.open(5, 8, 1);
    EXPECT_FALSE(quota.reserve(5, 20).granted) << "over its own part only what is free";
    quota.open(6, 7, 9);
    quota.release(4);
    EXPECT_TRUE(quota.reserve(6, 50).granted);
    EXPECT_TRUE(quota.resize(40).size() == 2U && quota.used() == 0U);
}

RC_GTEST_PROP(Room, TheQuotaIsNeverPassedAndAFairPartIsAlwaysHad, ()) {
    BodyQuota quota({1000, 300});
    struct Mine {
        std::uint64_t client;
        std::size_t bytes = 0;
        bool gone = false;
    };
    std::map<BodyId, Mine> open;
    BodyId last = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, 10), rc::gen::inRange(0, 5), rc::gen::inRange(0, 200), rc::gen::inRange(1, 4)));
    for (const auto& [what, who, size, worth] : steps) {
        if (what == 0 || open.empty()) {
            open[++last] = {static_cast<std::uint64_t>(who)};
            quota.open(last, static_cast<std::uint64_t>(who), worth);
        }
        auto at = open.begin();
        std::advance(at, (who * 7 + size) % static_cast<int>(open.size()));
        if (what == 1) {
            quota.release(at->first);
            open.erase(at);
        } else if (what > 1) {
            std::size_t mine = 0;
            for (const auto& [id, m] : open) mine += m.client == at->second.client ? m.bytes : 0;
            const auto bytes = static_cast<std::size_t>(size);
            const bool fair =
                mine + bytes <= quota.fairPart(at->second.client) && at->second.bytes + bytes <= 300;
            const bool was = at->second.gone;
            const auto grant = quota.reserve(at->first, bytes);
            for (const BodyId id : grant.evicted) {
                RC_ASSERT(open.count(id) == 1 && id != at->first);
                open[id].gone = true;
                open[id].bytes = 0;
            }
            if (grant.granted) at->second.bytes += bytes;
            if (!grant.granted) at->second = {at->second.client, 0, true};
            RC_ASSERT(!(was && grant.granted));
            if (fair && !was) RC_ASSERT(grant.granted);
        }
        std::size_t sum = 0;
        for (const auto& [id, m] : open) {
            sum += m.bytes;
            RC_ASSERT(quota.kept(id) == m.bytes);
        }
        RC_ASSERT(quota.used() == sum && sum <= 1000U);
    }
}

}  // namespace
}  // namespace marldale::attempts
