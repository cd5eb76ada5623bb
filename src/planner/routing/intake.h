// The planner's own address: collectors' reports, and probes of whoever asks whether it is alive.
//
// One rule of admission: a connection joins with an `agent` of a zone that is known. Until then it may only
// ask whether we are alive, and not for long; anything else is told `error` and ends at once.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "protocol/frames.h"
#include "routing/limits.h"
#include "routing/logger.h"
#include "routing/translator.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace marldale::routing {

class Intake {
public:
    Intake(transport::Loop& loop, const transport::Address& listen, std::vector<std::string> zones,
           std::size_t strangersMost, std::function<bool(Input)> post, Logger log);
    ~Intake();
    Intake(const Intake&) = delete;
    Intake& operator=(const Intake&) = delete;

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
    [[nodiscard]] std::size_t strangers() const { return strangers_.size(); }
    [[nodiscard]] std::size_t collectors() const { return collectors_.size(); }

private:
    struct Guest {
        std::unique_ptr<transport::Connection> connection;
        protocol::FrameReader reader{limits::kStrangerFrame};
        SteadyTime since;  // a stranger: when it came; a collector: when its last message came
        std::string zone;  // of a collector; empty for a stranger
        [[nodiscard]] bool joined() const { return !zone.empty(); }
    };
    using Guests = std::list<Guest>;  // the one with the earliest `since` comes first

    void accept(evutil_socket_t fd);
    void makeRoom();
    void received(Guests::iterator guest, std::string_view bytes);
    // False if the connection is of no use any more.
    [[nodiscard]] bool ofStranger(Guests::iterator guest, std::string_view message);
    [[nodiscard]] bool ofCollector(Guests::iterator guest, std::string_view message);
    void join(Guests::iterator guest, const std::string& zone);
    void remove(Guests::iterator guest, std::string_view lastWord = {});
    void sweep();
    [[nodiscard]] Guests& listOf(Guests::iterator guest) {
        return guest->joined() ? collectors_ : strangers_;
    }

    transport::Loop& loop_;
    const std::vector<std::string> zones_;
    const std::size_t strangersMost_;
    const std::function<bool(Input)> post_;
    const Logger log_;
    Guests strangers_, collectors_;
    transport::Timer sweep_;
    transport::Listener listener_;
};

}  // namespace marldale::routing
