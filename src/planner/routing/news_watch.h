// One watch of the relay's news. Silence ends a connection as surely as a break does.
#pragma once

#include <functional>

#include "protocol/relay.h"
#include "routing/backoff.h"
#include "routing/line_link.h"
#include "routing/logger.h"

namespace marldale::routing {

class NewsWatch {
public:
    struct Handlers {
        std::function<void()> begins;                     // what stands follows
        std::function<void(const protocol::News&)> line;  // a proxy, or a sign of life
        std::function<void()> stands;                     // all that stands has been told
        std::function<void()> lost;                       // it is dialled again by itself
    };

    NewsWatch(transport::Loop& loop, transport::Address relay, std::uint64_t seed, Handlers handlers,
              Logger log);
    NewsWatch(const NewsWatch&) = delete;
    NewsWatch& operator=(const NewsWatch&) = delete;

    void startOver(const std::string& why) { lost(why); }
    void stop();  // for good, and without a word to the owner

private:
    enum class Phase { dialling, asked, standing, live, stopped };

    [[nodiscard]] LineLink::Handlers linkHandlers();
    void lost(const std::string& why);
    bool onLine(std::string_view line);

    const Handlers handlers_;
    const Logger log_;
    Backoff backoff_;
    transport::Timer again_, silence_;
    LineLink link_;
    Phase phase_ = Phase::dialling;
};

}  // namespace marldale::routing
