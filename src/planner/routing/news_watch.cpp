#include "routing/news_watch.h"

#include <utility>

namespace marldale::routing {

NewsWatch::NewsWatch(transport::Loop& loop, transport::Address relay, std::uint64_t seed, Handlers handlers,
                     Logger log)
    : handlers_(std::move(handlers)),
      log_(std::move(log)),
      backoff_(seed),
      again_(loop, [this] { link_.dial(); }),
      silence_(loop, [this] { lost("silent"); }),
      link_(loop, std::move(relay), limits::kNewsLineMost, limits::kReplyBuffer, linkHandlers()) {
    link_.dial();
}

LineLink::Handlers NewsWatch::linkHandlers() {
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

void NewsWatch::lost(const std::string& why) {
    if (backoff_.failures() == 0) log_("news", "no news of proxies: " + why);
    silence_.cancel();
    link_.drop();
    again_.after(backoff_.failed());
    const Phase before = std::exchange(phase_, Phase::dialling);
    if (before == Phase::standing || before == Phase::live) handlers_.lost();
}

void NewsWatch::stop() {
    phase_ = Phase::stopped;
    silence_.cancel();
    again_.cancel();
    link_.drop();
}

bool NewsWatch::onLine(std::string_view line) {
    if (phase_ == Phase::asked) {
        if (!line.starts_with("OK")) {
            lost("the relay answers " + std::string(line));
            return false;
        }
        phase_ = Phase::standing;
        silence_.after(limits::kNewsSilence);
        handlers_.begins();
        return true;
    }
    const auto news = protocol::parseNews(line);
    if (!news) {
        // What can't be read may have been a join or a leave.
        lost("a line that can't be read: " + std::string(line.substr(0, 80)));
        return false;
    }
    silence_.after(limits::kNewsSilence);
    // What stands is written before anything else, so with the first sign of life it has all come.
    if (std::holds_alternative<protocol::SignOfLife>(*news) && phase_ == Phase::standing) {
        phase_ = Phase::live;
        if (const int failures = backoff_.succeeded(); failures > 0) {
            log_("news", "news again, after " + std::to_string(failures) + " failures");
        }
        handlers_.stands();
    } else {
        handlers_.line(*news);
    }
    return phase_ == Phase::standing || phase_ == Phase::live;  // the owner may have let go of it meanwhile
}

}  // namespace marldale::routing
