#include "routing/news_watch.h"

namespace marldale::routing {

NewsWatch::NewsWatch(transport::Loop& loop, transport::Address relay, std::uint64_t seed,
                     std::function<bool(Input)> post, Logger log)
    : loop_(loop),
      relay_(std::move(relay)),
      post_(std::move(post)),
      log_(std::move(log)),
      backoff_(seed),
      again_(loop, [this] { dial(); }),
      silence_(loop, [this] { lost("silent"); }),
      reader_(limits::kNewsLineMost) {
    dial();
}

void NewsWatch::dial() {
    phase_ = Phase::dialling;
    reader_ = protocol::LineReader(limits::kNewsLineMost);
    transport::Connection::Handlers handlers;
    handlers.connected = [this] {
        phase_ = Phase::asked;
        silence_.after(limits::kNewsAnswer);
        connection_->write(protocol::watchLine());
    };
    handlers.received = [this](std::string_view bytes) {
        if (!reader_.feed(bytes, [this](std::string_view line) { return onLine(line); })) {
            lost("a line without an end");
        }
    };
    handlers.ended = [this](transport::Ended how) { lost(transport::name(how)); };
    connection_ = std::make_unique<transport::Connection>(loop_, relay_, limits::kDial, limits::kReplyBuffer,
                                                          std::move(handlers));
}

void NewsWatch::drop() {
    silence_.cancel();
    if (!connection_) return;
    connection_->close();
    loop_.bury(std::move(connection_));
}

void NewsWatch::lost(const std::string& why) {
    if (backoff_.failures() == 0) log_("news", "no news of proxies: " + why);
    drop();
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
