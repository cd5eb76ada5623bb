// Tests of outcomes, chains, the effect ledger with its journal, circuit breakers, the retry budget and the
// replay schedule.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include "attempts/chains.h"
#include "attempts/circuit_breaker.h"
#include "attempts/effect_ledger.h"
#include "attempts/journal.h"
#include "attempts/schedule.h"

namespace marldale::attempts {
namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

Answer status(int code, std::int64_t bytes = 100) { return {Ended::answered, code, bytes}; }

// ---- Outcomes ----

TEST(Outcome, EffectIsUnknownUnlessTheResponseProvesIt) {
    const std::map<int, Effect> expected = {
        {100, Effect::unknown}, {200, Effect::done},    {201, Effect::done},    {204, Effect::done},
        {302, Effect::unknown}, {304, Effect::unknown}, {400, Effect::notDone}, {404, Effect::notDone},
        {408, Effect::unknown}, {409, Effect::unknown}, {429, Effect::notDone}, {499, Effect::unknown},
        {500, Effect::unknown}, {502, Effect::unknown}, {503, Effect::unknown}, {504, Effect::unknown}};
    for (const auto& [code, effect] : expected) EXPECT_EQ(effectOf(status(code), true), effect) << code;
    EXPECT_EQ(effectOf(status(200, 0), true), Effect::unknown) << "an empty body proves nothing";
    EXPECT_EQ(effectOf(status(200, -1), true), Effect::done) << "an unknown size does not mean an empty body";
    EXPECT_EQ(effectOf(status(204, 0), true), Effect::done);
    for (const Ended ended : {Ended::notRecorded, Ended::aborted, Ended::timedOut, Ended::cut}) {
        EXPECT_EQ(effectOf({ended, 200, 100}, true), Effect::unknown) << name(ended);
    }
    EXPECT_EQ(effectOf({Ended::neverSent, 0, -1}, true), Effect::notDone);
    EXPECT_EQ(effectOf(status(500), false), Effect::none);
}

TEST(Outcome, ClientsRetryAfterServerErrorsAndMissingResponses) {
    for (const int code : {408, 425, 429, 499, 500, 503})
        EXPECT_TRUE(clientsRetryAfter(status(code))) << code;
    for (const int code : {200, 301, 400, 404, 409}) EXPECT_FALSE(clientsRetryAfter(status(code))) << code;
    EXPECT_TRUE(clientsRetryAfter({Ended::aborted, 0, -1}));
}

// ---- Chains ----

Try tryAt(Micros at, Answer answer, std::uint64_t client = 7, std::uint64_t target = 9) {
    Try out;
    out.at = at;
    out.took = 100 * kMs;
    out.client = client;
    out.target = target;
    out.answer = answer;
    return out;
}

TEST(Chains, ATryContinuesAChainIfClientsRetryAfterThePreviousAnswer) {
    ChainJoiner joiner({{{5 * kSecond, 3}}, 0, 60 * kSecond, 1000});
    EXPECT_EQ(joiner.add(tryAt(0, status(503))), (Link{1, 0}));
    EXPECT_EQ(joiner.add(tryAt(kSecond, status(503))), (Link{1, 1}));
    EXPECT_EQ(joiner.add(tryAt(2 * kSecond, status(503))), (Link{1, 2}));
    EXPECT_EQ(joiner.add(tryAt(3 * kSecond, status(200))), (Link{2, 0})) << "a chain has three tries at most";
    EXPECT_EQ(joiner.add(tryAt(4 * kSecond, status(503))), (Link{3, 0})) << "the previous request was served";
    EXPECT_EQ(joiner.add(tryAt(10 * kSecond, status(200))), (Link{4, 0}))
        << "the gap is longer than clients wait";
    EXPECT_EQ(joiner.add(tryAt(11 * kSecond, status(503), 0)), (Link{5, 0}));
    EXPECT_EQ(joiner.add(tryAt(12 * kSecond, status(503), 0)), (Link{6, 0})) << "the client is unknown";
}

TEST(Chains, ATryThatBeginsBeforeThePreviousOneHasEndedStartsANewChain) {
    ChainJoiner joiner({{{5 * kSecond, 4}}, 0, 60 * kSecond, 1000});
    auto slow = tryAt(0, status(504));
    slow.took = 3 * kSecond;
    EXPECT_EQ(joiner.add(slow), (Link{1, 0}));
    EXPECT_EQ(joiner.add(tryAt(kSecond, status(200))), (Link{2, 0}));
    ChainJoiner coarse({{{5 * kSecond, 4}}, kSecond, 60 * kSecond, 1000});
    slow.took = 1500 * kMs;
    EXPECT_EQ(coarse.add(slow), (Link{1, 0}));
    EXPECT_EQ(coarse.add(tryAt(kSecond, status(200))), (Link{1, 1}))
        << "within the resolution of the timestamps";
}

TEST(Chains, EntriesWithTheSameRequestIdAreJoinedWhateverTheAnswer) {
    ChainJoiner joiner({{{5 * kSecond, 2}}, 0, 60 * kSecond, 1000});
    auto entry = tryAt(0, status(200), 1);
    entry.requestId = 77;
    EXPECT_EQ(joiner.add(entry), (Link{1, 0}));
    entry.at = 30 * kSecond;
    entry.client = 2;
    EXPECT_EQ(joiner.add(entry), (Link{1, 1}));
    entry.at = 120 * kSecond;
    EXPECT_EQ(joiner.add(entry), (Link{2, 0})) << "request ids expire";
}

TEST(Chains, OpenChainsAreBoundedInNumberAndExpire) {
    ChainJoiner joiner({{{kSecond, 4}}, 0, kSecond, 100});
    for (std::uint64_t i = 1; i <= 1000; ++i) (void)joiner.add(tryAt(static_cast<Micros>(i), status(503), i));
    EXPECT_LE(joiner.open(), 101U);
    EXPECT_GE(joiner.forgottenEarly(), 899U);
    (void)joiner.add(tryAt(3600 * kSecond, status(503), 5));
    EXPECT_EQ(joiner.open(), 1U);
}

// ---- Effect ledger ----

TEST(Ledger, AnIntentMayBeSentAgainOnlyAfterProofThatItHadNoEffect) {
    EffectLedger ledger({});
    const SendRequest request{1, Effect::done, 0, 0};
    EXPECT_EQ(ledger.decide(request), SendVerdict::send);
    ledger.begun(request);
    EXPECT_EQ(ledger.decide(request), SendVerdict::leaveOutOpen);
    ledger.ended(1, Effect::notDone);
    EXPECT_EQ(ledger.decide(request), SendVerdict::send);
    ledger.begun(request);
    ledger.ended(1, Effect::unknown);
    EXPECT_EQ(ledger.decide(request), SendVerdict::leaveOutUncertain);
    ledger.ended(1, Effect::notDone);
    EXPECT_EQ(ledger.decide(request), SendVerdict::leaveOutUncertain)
        << "a later response does not change it";
}

TEST(Ledger, RequestsOfUnknownEffectAreLeftOutOrSentUnlessTheyMayBeRepeats) {
    EffectLedger careful({});
    EXPECT_EQ(careful.decide({1, Effect::unknown, 0, 0}), SendVerdict::leaveOutUnrecorded);
    EffectLedger once({UnknownPolicy::once, 600 * kSecond});
    EXPECT_EQ(once.decide({1, Effect::unknown, 5, 0}), SendVerdict::send);
    once.begun({1, Effect::unknown, 5, 0});
    EXPECT_EQ(once.decide({2, Effect::unknown, 5, 300 * kSecond}), SendVerdict::leaveOutPossibleRepeat);
    EXPECT_EQ(once.decide({2, Effect::unknown, 5, 700 * kSecond}), SendVerdict::send);
    EXPECT_EQ(once.decide({2, Effect::unknown, 0, 300 * kSecond}), SendVerdict::send)
        << "it has a request id";
}

// A box that counts the effects of each intent. Some of its responses are lost, whether the request ran or
// not.
struct Box {
    std::map<Intent, int> effects;
    std::mt19937_64 random;
    explicit Box(std::uint64_t seed) : random(seed) {}
    Effect run(Intent intent) {
        switch (random() % 4) {
            case 0: return Effect::notDone;
            case 1: ++effects[intent]; return Effect::unknown;
            case 2: return Effect::unknown;
            default: ++effects[intent]; return Effect::done;
        }
    }
};

// A replayer that journals before it sends. It is killed once it has written `writableBytes`, possibly within
// a record.
class Replayer {
public:
    Replayer(std::string& disk, std::size_t writableBytes, Box& box, EffectLedger::Settings settings)
        : disk_(disk), writableBytes_(writableBytes), box_(box), ledger_(settings) {
        const JournalRead read = readJournal(disk_);
        EXPECT_FALSE(read.damaged);
        disk_.resize(read.whole);
        from_ = restoreLedger(read.records, ledger_).from;
    }
    // False if it was killed.
    bool play(const std::vector<SendRequest>& requests) {
        for (std::size_t i = from_; i < requests.size(); ++i) {
            const SendRequest& request = requests[i];
            if (sends(ledger_.decide(request))) {
                ledger_.begun(request);
                if (!write({JournalRecord::Kind::begun, Effect::none, request.intent,
                            request.clientTargetHash, request.at}))
                    return false;
                const Effect live = box_.run(request.intent);
                ledger_.ended(request.intent, live);
                if (!write({JournalRecord::Kind::ended, live, request.intent, 0, 0})) return false;
            }
            if (!write({JournalRecord::Kind::reached, Effect::none, i + 1, 0, 0})) return false;
        }
        return write({JournalRecord::Kind::finished, Effect::none, 0, 0, 0});
    }

private:
    bool write(const JournalRecord& record) {
        const auto bytes = encode(record);
        const std::size_t size = std::min(bytes.size(), writableBytes_);
        disk_.append(bytes.data(), size);
        writableBytes_ -= size;
        return size == bytes.size();
    }
    std::string& disk_;
    std::size_t writableBytes_;
    Box& box_;
    EffectLedger ledger_;
    std::size_t from_ = 0;
};

std::vector<SendRequest> randomRequests(std::mt19937_64& random, std::size_t count) {
    std::vector<SendRequest> out;
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t intent = 1 + random() % (count / 2 + 1);
        const auto recorded = static_cast<Effect>(1 + random() % 3);
        out.push_back(
            {intent, recorded, random() % 2 == 0 ? 0 : 100 + intent, static_cast<Micros>(i) * kSecond});
    }
    return out;
}

TEST(Ledger, AReplayKilledAtAnyByteOfItsJournalAndResumedCausesNoSecondEffect) {
    std::mt19937_64 random(11);
    const auto all = randomRequests(random, 12);
    std::size_t kills = 0;
    for (std::size_t killAt = 0;; ++killAt) {
        std::string disk;
        Box box(5);
        const bool whole = Replayer(disk, killAt, box, {UnknownPolicy::once, 600 * kSecond}).play(all);
        if (!whole) {
            ++kills;
            ASSERT_TRUE(Replayer(disk, 1U << 20U, box, {UnknownPolicy::once, 600 * kSecond}).play(all));
        }
        for (const auto& [intent, effects] : box.effects) ASSERT_LE(effects, 1) << "killed at " << killAt;
        const JournalRead read = readJournal(disk);
        ASSERT_EQ(read.whole, disk.size());
        ASSERT_EQ(read.records.back().kind, JournalRecord::Kind::finished);
        if (whole) break;
    }
    EXPECT_GT(kills, 500U);
}

RC_GTEST_PROP(LedgerProperty, NoIntentTakesEffectTwiceHoweverOftenTheReplayIsKilledAndResumed,
              (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    const auto all = randomRequests(random, 40);
    const EffectLedger::Settings settings{random() % 2 == 0 ? UnknownPolicy::once : UnknownPolicy::leaveOut,
                                          600 * kSecond};
    Box box(seed + 1);
    std::string disk;
    for (int run = 0; run < 50; ++run) {
        if (Replayer(disk, random() % 600, box, settings).play(all)) break;
    }
    for (const auto& [intent, effects] : box.effects) RC_ASSERT(effects <= 1);
}

// ---- Journal ----

RC_GTEST_PROP(JournalProperty, DecodeRestoresWhatWasEncoded,
              (std::uint64_t intent, std::uint64_t clientTargetHash, std::int64_t at, std::uint8_t kind,
               std::uint8_t effect)) {
    const JournalRecord record{static_cast<JournalRecord::Kind>(1 + kind % 5),
                               static_cast<Effect>(effect % 4), intent, clientTargetHash, at};
    const auto bytes = encode(record);
    const auto decoded = decode({bytes.data(), bytes.size()});
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == record);
}

TEST(Journal, AFlippedBitIsDetectedAndAnIncompleteLastRecordIsNotDamage) {
    std::string disk;
    for (std::uint64_t i = 0; i < 4; ++i) {
        const auto bytes = encode({JournalRecord::Kind::begun, Effect::none, i, 0, 0});
        disk.append(bytes.data(), bytes.size());
    }
    for (std::size_t bit = 0; bit < kJournalRecordBytes * 8; ++bit) {
        std::string corrupt = disk;
        corrupt[kJournalRecordBytes + bit / 8] =
            static_cast<char>(corrupt[kJournalRecordBytes + bit / 8] ^ (1 << (bit % 8)));
        const JournalRead read = readJournal(corrupt);
        EXPECT_EQ(read.records.size(), 1U) << bit;
        EXPECT_TRUE(read.damaged) << bit;
    }
    for (std::size_t cut = 1; cut < kJournalRecordBytes; ++cut) {
        const JournalRead read = readJournal(std::string_view(disk).substr(0, disk.size() - cut));
        EXPECT_TRUE(read.torn);
        EXPECT_FALSE(read.damaged);
        EXPECT_EQ(read.records.size(), 3U);
    }
}

// ---- Circuit breakers and the retry budget ----

TEST(RetryAfter, IsANumberOfSecondsOrADate) {
    EXPECT_EQ(readRetryAfter("3", 0), 3 * kSecond);
    EXPECT_EQ(readRetryAfter(" 0 ", 0), 0);
    EXPECT_EQ(readRetryAfter("999999999", 0), 3600 * kSecond);
    const Micros now = 784111777LL * kSecond;  // Sun, 06 Nov 1994 08:49:37 GMT, as in RFC 9110
    EXPECT_EQ(readRetryAfter("Sun, 06 Nov 1994 08:49:47 GMT", now), 10 * kSecond);
    EXPECT_EQ(readRetryAfter("Sun, 06 Nov 1994 08:49:27 GMT", now), 0) << "the date has passed";
    for (const char* bad : {"", "-3", "3.5", "soon", "3 s", "Sun, 06 Nov 1994"}) {
        EXPECT_FALSE(readRetryAfter(bad, now).has_value()) << bad;
    }
}

TEST(CircuitBreakerTest, OpensAfterRefusalsAndThenAllowsOneTrialAtATime) {
    CircuitBreaker breaker({3, 100 * kMs, 400 * kMs});
    breaker.refused(0, std::nullopt);
    breaker.refused(0, std::nullopt);
    EXPECT_TRUE(breaker.allows(0));
    breaker.refused(0, std::nullopt);
    EXPECT_FALSE(breaker.allows(99 * kMs));
    ASSERT_TRUE(breaker.allows(100 * kMs));
    breaker.sent();
    EXPECT_FALSE(breaker.allows(100 * kMs)) << "one trial at a time";
    breaker.refused(100 * kMs, std::nullopt);
    EXPECT_FALSE(breaker.allows(299 * kMs));
    EXPECT_TRUE(breaker.allows(300 * kMs));
    breaker.sent();
    breaker.refused(300 * kMs, 2 * kSecond);
    EXPECT_FALSE(breaker.allows(2299 * kMs));
    ASSERT_TRUE(breaker.allows(2300 * kMs));
    breaker.sent();
    breaker.answered();
    EXPECT_TRUE(breaker.allows(2300 * kMs));
    EXPECT_EQ(breaker.refusals(), 0U);
}

TEST(CircuitBreakerTest, RefusalsOfRequestsSentBeforeItOpenedDoNotMakeTheWaitLonger) {
    CircuitBreaker breaker({3, 100 * kMs, 10 * kSecond});
    for (int i = 0; i < 500; ++i) breaker.refused(0, std::nullopt);
    EXPECT_EQ(breaker.openUntil(), 100 * kMs);
    ASSERT_TRUE(breaker.allows(100 * kMs));
    breaker.sent();
    breaker.refused(110 * kMs, std::nullopt);
    EXPECT_EQ(breaker.openUntil(), 310 * kMs);
}

RC_GTEST_PROP(CircuitBreakerProperty, ABoxThatAlwaysRefusesIsSentFewRequests, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    const CircuitBreaker::Settings settings{5, 100 * kMs, 2 * kSecond};
    CircuitBreaker breaker(settings);
    int sent = 0;
    for (Micros now = 0; now < 10 * kSecond; now += static_cast<Micros>(random() % 5000)) {
        if (!breaker.allows(now)) continue;
        breaker.sent();
        breaker.refused(now, std::nullopt);
        ++sent;
    }
    // Five until it opens, five waits of 100, 200, ... ms up to 2 s, and at most five more in the time that
    // is left.
    RC_ASSERT(sent <= 5 + 5 + 5);
}

TEST(RetryBudgetTest, EachFirstTryAddsAFractionOfARetry) {
    RetryBudget budget(0.25, 2);
    EXPECT_TRUE(budget.take());
    EXPECT_TRUE(budget.take());
    EXPECT_FALSE(budget.take());
    for (int i = 0; i < 4; ++i) budget.firstTry();
    EXPECT_TRUE(budget.take());
    EXPECT_FALSE(budget.take());
}

// ---- Schedule ----

TEST(Schedule, TimesAreScaledAndLoopsFollowEachOther) {
    ScheduleSettings settings;
    settings.speed = 10;
    settings.from = 100 * kSecond;
    settings.until = 160 * kSecond;
    settings.loopGap = 2 * kSecond;
    const Schedule schedule(settings);
    EXPECT_FALSE(schedule.inWindow(99 * kSecond));
    EXPECT_TRUE(schedule.inWindow(100 * kSecond));
    EXPECT_FALSE(schedule.inWindow(160 * kSecond));
    EXPECT_EQ(schedule.intended(130 * kSecond, 0, 60 * kSecond), 3 * kSecond);
    EXPECT_EQ(schedule.intended(130 * kSecond, 1, 60 * kSecond), 3 * kSecond + 6200 * kMs);
}

RC_GTEST_PROP(ScheduleProperty, ChainsAreCopiedAccordingToTheirShareAndAlwaysAlike, (std::uint32_t seed)) {
    ScheduleSettings settings;
    settings.seed = seed;
    settings.shareByClass = {0.3, 2.5};
    const Schedule schedule(settings);
    std::uint64_t copiesAt30Percent = 0, copiesAt250Percent = 0;
    for (std::uint64_t chain = 1; chain <= 4000; ++chain) {
        RC_ASSERT(schedule.copies(chain, 0) == schedule.copies(chain, 0));
        copiesAt30Percent += schedule.copies(chain, 0);
        copiesAt250Percent += schedule.copies(chain, 1);
        RC_ASSERT(schedule.copies(chain, 7) == 1U);
    }
    RC_ASSERT(copiesAt30Percent > 1050U);
    RC_ASSERT(copiesAt30Percent < 1350U);
    RC_ASSERT(copiesAt250Percent > 9850U);
    RC_ASSERT(copiesAt250Percent < 10150U);
}

}  // namespace
}  // namespace marldale::attempts
