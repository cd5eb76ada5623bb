// The proxy's planners over the platform's protocol: for each planner the proxy listens as the relay that has
// one proxy, and to the one that orders it, it reports as that zone's collector does.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "protocol/lines.h"
#include "proxy/order_book.h"
#include "proxy/owner.h"
#include "proxy/planners.h"
#include "proxy/settings.h"
#include "routing/backoff.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace marldale::proxy {

// Counts as the platform's messages, framed.
[[nodiscard]] std::string messagesOf(const Count& count, const PlannerSettings& settings,
                                     const std::vector<std::string>& classes);

class PlatformSide final : public Planners {
public:
    // Throws std::runtime_error if an address can't be listened on.
    PlatformSide(transport::Loop& loop, Gateway& gateway, PlannerSettings settings, routing::Logger log);
    ~PlatformSide() override;
    void bye() override;

    [[nodiscard]] std::uint16_t relayPort(std::size_t planner) const;
    [[nodiscard]] const Owner& owner() const { return owner_; }

private:
    struct Caller {
        std::unique_ptr<transport::Connection> connection;
        protocol::LineReader reader;
        bool watches = false, lost = false;  // lost: too far behind, to be taken out
        Micros heard = 0;
        void say(const std::string& text) { lost = lost || !connection->write(text); }
    };
    using Callers = std::list<Caller>;
    struct Seat {  // of one planner
        Seat(OrderBook b) : book(std::move(b)) {}
        OrderBook book;
        Callers callers;
        std::unique_ptr<transport::Listener> listener;
    };
    void accept(std::size_t planner, evutil_socket_t fd);
    void line(std::size_t planner, Caller& caller, std::string_view text);
    void watch(std::size_t planner, Caller& caller);
    void apply(std::size_t planner, Caller& caller, std::string_view orders);
    void remove(std::size_t planner, Callers::iterator caller);
    void tell(Seat& seat, const std::string& text);
    void look();  // at the owner
    void tick();
    [[nodiscard]] std::string hello() const;

    void report();
    void dial();
    void hangUp();

    transport::Loop& loop_;
    Gateway& gateway_;
    const PlannerSettings settings_;
    const routing::Logger log_;
    StandingTeller standing_;
    Owner owner_;
    std::vector<std::unique_ptr<Seat>> seats_;
    transport::Timer looking_, ticking_, reporting_, redialling_;
    bool heard_ = false;

    std::unique_ptr<transport::Connection> collector_;
    std::size_t collects_ = 0;  // the planner that it was dialled for
    bool up_ = false;
    routing::Backoff backoff_;
    Count gathered_;
};

}  // namespace marldale::proxy
