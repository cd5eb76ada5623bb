// The relay's news of proxies. Silence ends a connection as surely as a break does.
#pragma once

#include <functional>

#include "protocol/relay.h"
#include "routing/backoff.h"
#include "routing/line_link.h"
#include "routing/logger.h"
#include "routing/translator.h"

namespace marldale::routing {

class NewsWatch {
public:
    // `post` says whether there was room.
    NewsWatch(transport::Loop& loop, transport::Address relay, std::uint64_t seed,
              std::function<bool(Input)> post, Logger log);
    NewsWatch(const NewsWatch&) = delete;
    NewsWatch& operator=(const NewsWatch&) = delete;

    void startOver() { lost("asked to start over"); }

private:
    enum class Phase { dialling, asked, standing, live };

    [[nodiscard]] LineLink::Handlers handlers();
    void dial();
    void lost(const std::string& why);
    bool onLine(std::string_view line);
    bool give(Input input);

    const std::function<bool(Input)> post_;
    const Logger log_;
    Backoff backoff_;
    transport::Timer again_, silence_;
    LineLink link_;
    Phase phase_ = Phase::dialling;
};

}  // namespace marldale::routing
