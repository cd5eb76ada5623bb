#include "routing/news_watch.h"

namespace marldale::routing {

NewsWatch::NewsWatch(transport::Loop& loop, transport::Address relay, std::uint64_t seed,
                     std::function<bool(Input)> post, Logger log)
    : post_(std::move(post)),
      log_(std::move(log)),
      backoff_(seed),
      again_(loop, [this] { dial(); }),
      silence_(loop, [this] { lost("silent"); }),
      link_(loop, std::move(relay), limits::kNewsLineMost, limits::kReplyBuffer, handlers()) {
    dial();
}

LineLink::Handlers NewsWatch::handlers() {
    LineLink::Handlers out;
    out.up = [this] {
        phase_ = Phase::asked;
        silence_.after(limits::kNewsAnswer);
        if (!link_.say(protocol::watchLine())) lost("its buffer is full");
    };
    out.line = [this](std::string_view line) { return onLine(line); };
    out.lost = [this](const std::string& why) { lost(why); };
    return out;
}

void NewsWatch::dial() {
    phase_ = Phase::dialling;
    link_.dial();
}

void NewsWatch::lost(const std::string& why) {
    if (backoff_.failures() == 0) log_("news", "no news of proxies: " + why);
    silence_.cancel();
    link_.drop();
    again_.after(backoff_.failed());
}

bool NewsWatch::give(Input input) {
    if (post_(std::move(input))) return true;
    // What stands is told again on a new connection, so nothing is lost for good.
    lost("no room for news");
    return false;
}

bool NewsWatch::onLine(std::string_view line) {
    if (phase_ == Phase::asked) {
        if (!line.starts_with("OK")) {
            lost("the relay answers " + std::string(line));
            return false;
        }
        phase_ = Phase::standing;
        silence_.after(limits::kNewsSilence);
        return give(StandingBegins{});
    }
    const auto news = protocol::parseNews(line);
    if (!news) {
        // What can't be read may have been a join or a leave.
        lost("a line that can't be read: " + std::string(line.substr(0, 80)));
        return false;
    }
    silence_.after(limits::kNewsSilence);
    if (!std::holds_alternative<protocol::SignOfLife>(*news)) return give(*news);
    if (phase_ == Phase::live) return true;
    // What stands is written before anything else, so with the first sign of life it has all come.
    phase_ = Phase::live;
    if (const int failures = backoff_.succeeded(); failures > 0) {
        log_("news", "news again, after " + std::to_string(failures) + " failures");
    }
    return give(StandingEnds{});
}

}  // namespace marldale::routing
