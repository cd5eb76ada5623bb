// Tests of the retry rule.
#include "gateway/forwarding/retry_rule.h"

#include <catch2/catch.hpp>

using namespace marldale;
using namespace marldale::forwarding;

namespace {

constexpr AttemptResult kEndings[] = {
    AttemptResult::connectFailed,    AttemptResult::unsent, AttemptResult::refused,
    AttemptResult::otherIncarnation, AttemptResult::broken, AttemptResult::timedOut,
    AttemptResult::invalid,          AttemptResult::failed, AttemptResult::answered};

bool proves(AttemptResult result) {
    return result == AttemptResult::connectFailed || result == AttemptResult::unsent ||
           result == AttemptResult::refused || result == AttemptResult::otherIncarnation;
}

}  // namespace

TEST_CASE("Random histories: no second send and no refusal without proof that the request has not run",
          "[forwarding]") {
    upstream::Draw draw(GENERATE(range(1, 4)));
    for (int history = 0; history < 20000; ++history) {
        const Kind kind = static_cast<Kind>(draw.next() % 3);
        const unsigned most = 1 + static_cast<unsigned>(draw.next() % 4);
        const Micros deadline = 1000000;
        RetryRule forwarding(kind, most, deadline);
        Micros now = 0;
        bool mayHaveRun = false;
        unsigned sends = 0, dials = 0;
        for (;;) {
            now += static_cast<Micros>(draw.next() % 300000);
            ++dials;
            if (now >= deadline) break;  // callers check the deadline before sending
            const bool sent = draw.next() % 4 != 0;
            AttemptResult result = kEndings[draw.next() % 9];
            if (!sent) result = AttemptResult::connectFailed;
            if (sent) {
                // The rule under test: a writing request is sent again only if every earlier send is proven
                // not to have run.
                if (kind == Kind::writing) REQUIRE_FALSE(mayHaveRun);
                forwarding.sent();
                ++sends;
            }
            now += static_cast<Micros>(draw.next() % 300000);
            const NextStep step = forwarding.attemptEnded(result, now);
            // A connect failure reported after bytes were sent is not a proof.
            if (sent && (!proves(result) || result == AttemptResult::connectFailed)) mayHaveRun = true;
            REQUIRE(sends <= most);
            REQUIRE(dials <= most + kMaxConnectFailures);
            REQUIRE(forwarding.isRetry() == (sends > 0));
            if (step == NextStep::refuse || forwarding.finalStep(now) == NextStep::refuse)
                REQUIRE_FALSE(mayHaveRun);
            if (step == NextStep::pass)
                REQUIRE((result == AttemptResult::answered || result == AttemptResult::failed));
            if (result == AttemptResult::answered) REQUIRE(step == NextStep::pass);
            if (step != NextStep::again) break;
            if (now >= deadline) FAIL("again after the deadline");
            if (draw.next() % 8 == 0) break;  // no server has capacity
        }
    }
}

TEST_CASE("An attempt gets part of the remaining time while another may follow", "[forwarding]") {
    RetryRule reading(Kind::readOnly, 2, 1000000);
    reading.sent();
    CHECK(reading.attemptUntil(0) == 600000);
    REQUIRE(reading.attemptEnded(AttemptResult::timedOut, 600000) == NextStep::again);
    reading.sent();
    CHECK(reading.attemptUntil(600000) == 1000000);
    CHECK(reading.attemptEnded(AttemptResult::timedOut, 1000000) == NextStep::gatewayTimeout);
    RetryRule writing(Kind::writing, 2, 1000000);
    writing.sent();
    CHECK(writing.attemptUntil(0) == 1000000);
    CHECK(writing.attemptEnded(AttemptResult::timedOut, 1000000) == NextStep::gatewayTimeout);
}
