// The planner's own address: collectors' reports, and probes of whoever asks whether it is alive.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "protocol/frames.h"
#include "routing/limits.h"
#include "routing/logger.h"
#include "routing/translator.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace marldale::routing {

class Intake {
public:
    Intake(transport::Loop& loop, const transport::Address& listen, std::size_t strangersMost,
           std::function<bool(Input)> post, Logger log);
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
        SteadyTime since;  // when it was last heard from
        bool collector = false;
    };
    using Guests = std::list<Guest>;  // the one heard from longest ago comes first

    void accept(evutil_socket_t fd);
    void received(Guests::iterator guest, std::string_view bytes);
    bool handle(Guests::iterator guest, std::string_view message);
    void remove(Guests::iterator guest);
    void sweep();
    [[nodiscard]] Guests& listOf(Guests::iterator guest) {
        return guest->collector ? collectors_ : strangers_;
    }

    transport::Loop& loop_;
    const std::size_t strangersMost_;
    const std::function<bool(Input)> post_;
    const Logger log_;
    Guests strangers_, collectors_;
    transport::Timer sweep_;
    transport::Listener listener_;
};

}  // namespace marldale::routing
