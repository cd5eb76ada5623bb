#include "proxy/platform_side.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "protocol/frames.h"
#include "protocol/json.h"
#include "protocol/relay.h"
#include "proxy/order_text.h"

namespace marldale::proxy {
namespace {

constexpr std::size_t kCallersMost = 32;                       // PROTOCOL: of one planner
constexpr std::size_t kLineMost = protocol::kOrdersMost + 64;  // "APPLY " and the orders of one call
constexpr std::size_t kBehindMost = std::size_t{1} << 20U;     // PROTOCOL: a reader further behind is cut off
constexpr Micros kIdleMost = 10 * 1000000LL;                   // PROTOCOL: of a connection that says nothing
constexpr transport::Millis kLifeEvery{1000}, kDialWithin{300};
constexpr Micros kSpanMost = 30 * 1000000LL;

std::string digits(double value) {
    std::array<char, 64> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
    return {text.data(), end};
}

double millis(Micros micros) { return static_cast<double>(micros) / 1000; }

}  // namespace

std::string messagesOf(const Count& count, const PlannerSettings& settings,
                       const std::vector<std::string>& classes) {
    std::string out;
    const auto add = [&](const protocol::Json& message) { out += protocol::frame(message.dump()); };
    const double over = millis(std::clamp<Micros>(count.over, 1, 60000000));
    for (const auto& [box, c] : count.boxes) {
        add({{"type", "outcomes"},
             {"site", settings.zone},
             {"target", box},
             {"count", c.tries},
             {"fail", c.failed},
             {"mean", millis(std::min<Micros>(c.mean(), 60000000))},
             {"over", over}});
    }
    for (std::size_t k = 0; k < count.classes.size(); ++k) {
        if (count.classes[k] == ClassCount{}) continue;
        add({{"type", "demand"},
             {"id", settings.relay},
             {"lane", classes[k]},
             {"count", count.classes[k].came},
             {"fail", count.classes[k].failed},
             {"over", over}});
    }
    return out;
}

PlatformSide::PlatformSide(transport::Loop& loop, Gateway& gateway, PlannerSettings settings,
                           routing::Logger log)
    : loop_(loop),
      gateway_(gateway),
      settings_(std::move(settings)),
      log_(std::move(log)),
      standing_(gateway, log_),
      owner_(settings_.platform.size()),
      looking_(loop, [this] { look(); }),
      ticking_(loop, [this] { tick(); }),
      reporting_(loop, [this] { report(); }),
      redialling_(loop, [this] { dial(); }),
      backoff_(settings_.relay + 1) {
    for (std::size_t i = 0; i < settings_.platform.size(); ++i) {
        auto seat = std::make_unique<Seat>(
            OrderBook(gateway_.steering().classes(), static_cast<ProxyId>(settings_.relay)));
        seat->listener = std::make_unique<transport::Listener>(
            loop, *transport::parseAddress(settings_.platform[i].relayListen),
            [this, i](evutil_socket_t fd) { accept(i, fd); });
        seats_.push_back(std::move(seat));
    }
    ticking_.after(kLifeEvery);
    reporting_.after(settings_.reportEvery);
}

PlatformSide::~PlatformSide() {
    hangUp();
    for (const auto& seat : seats_) {
        for (Caller& c : seat->callers) c.connection->close();
    }
}

std::uint16_t PlatformSide::relayPort(std::size_t planner) const { return seats_[planner]->listener->port(); }

// ---- The relay's side ----

void PlatformSide::accept(std::size_t planner, evutil_socket_t fd) {
    Seat& seat = *seats_[planner];
    if (seat.callers.size() >= kCallersMost) {
        log_("planner", settings_.platform[planner].name + " has too many connections; one more is refused");
        evutil_closesocket(fd);
        return;
    }
    const auto caller =
        seat.callers.insert(seat.callers.end(), Caller{nullptr, protocol::LineReader(kLineMost)});
    caller->heard = Gateway::now();
    transport::Connection::Handlers handlers;
    handlers.received = [this, planner, caller](std::string_view bytes) {
        caller->heard = Gateway::now();
        const bool sound = caller->reader.feed(bytes, [&](std::string_view text) {
            line(planner, *caller, text);
            return !caller->lost;
        });
        if (!sound || caller->lost) remove(planner, caller);
    };
    handlers.ended = [this, planner, caller](transport::Ended) { remove(planner, caller); };
    caller->connection = std::make_unique<transport::Connection>(loop_, fd, kBehindMost, std::move(handlers));
}

void PlatformSide::remove(std::size_t planner, Callers::iterator caller) {
    Seat& seat = *seats_[planner];
    const bool watched = caller->watches;
    if (caller->connection) {
        caller->connection->close();
        loop_.bury(std::move(caller->connection));
    }
    seat.callers.erase(caller);
    if (!watched ||
        std::any_of(seat.callers.begin(), seat.callers.end(), [](const Caller& c) { return c.watches; }))
        return;
    owner_.watchesNoMore(planner, Gateway::now());
    look();
}

void PlatformSide::line(std::size_t planner, Caller& caller, std::string_view text) {
    constexpr std::string_view kApply = "APPLY ";
    if (text == "WATCH") {
        watch(planner, caller);
    } else if (text.starts_with(kApply)) {
        apply(planner, caller, text.substr(kApply.size()));
    } else {
        caller.say("SYNTAX\r\n");
    }
}

std::string PlatformSide::hello() const {
    const bool fresh = gateway_.steering().standing() == Standing::waiting;
    return "* hello " + std::to_string(settings_.relay) + ' ' + settings_.zone + ' ' +
           digits(settings_.usualRate) + (fresh ? " 1\r\n" : " 0\r\n");
}

void PlatformSide::watch(std::size_t planner, Caller& caller) {
    caller.watches = true;
    std::string text = "OK\r\n";
    if (owner_.holder() == planner) text += hello();
    caller.say(text + "*\r\n");
    owner_.watches(planner, Gateway::now());
    look();
}

void PlatformSide::apply(std::size_t planner, Caller& caller, std::string_view orders) {
    const Micros came = Gateway::now();
    Seat& seat = *seats_[planner];
    const auto outcome = seat.book.apply(proxy::ordersOf(orders));
    if (!outcome.refused.empty())
        log_("orders", settings_.platform[planner].name + ": order " + std::to_string(outcome.taken + 1) +
                           " of a call is not taken: " + outcome.refused);
    if (owner_.holder() == planner && outcome.changed) {
        gateway_.steering().obey(seat.book.orders(), came);
        gateway_.steered();
    }
    caller.say("OK " + std::to_string(outcome.taken) + "\r\n");
    if (!outcome.mark) return;
    tell(seat, "* ack " + std::to_string(settings_.relay) + ' ' + std::to_string(*outcome.mark) + ' ' +
                   digits(millis(Gateway::now() - came)) + "\r\n");
}

void PlatformSide::tell(Seat& seat, const std::string& text) {
    for (Caller& c : seat.callers) {
        if (c.watches && !c.lost) c.say(text);
    }
}

// ---- Whose it is ----

void PlatformSide::look() {
    const Micros now = Gateway::now();
    if (const auto change = owner_.due(now)) {
        if (change->from) {
            Seat& old = *seats_[*change->from];
            old.book.leave();
            tell(old, "* bye " + std::to_string(settings_.relay) + "\r\n");
        }
        Seat& seat = *seats_[*change->to];
        seat.book.join();
        tell(seat, hello());
        hangUp();
        heard_ = false;
    }
    if (owner_.heard() != heard_) {
        heard_ = owner_.heard();
        const std::string& who = settings_.platform[*owner_.holder()].name;
        standing_(heard_, heard_ ? who + " watches" : who + " watches no more");
    }
    if (heard_ && !collector_ && !redialling_.pending()) dial();
    const Micros next = owner_.next();
    if (next >= 0) looking_.after(transport::Millis{std::max<Micros>(1, (next - now + 999) / 1000)});
}

void PlatformSide::tick() {
    const Micros now = Gateway::now();
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        Seat& seat = *seats_[i];
        tell(seat, "*\r\n");
        for (auto at = seat.callers.begin(); at != seat.callers.end();) {
            const auto caller = at++;
            const bool silent = !caller->watches && now - caller->heard > kIdleMost;
            if (caller->lost || silent) remove(i, caller);
        }
    }
    ticking_.after(kLifeEvery);
}

// ---- The collector's side ----

void PlatformSide::hangUp() {
    up_ = false;
    redialling_.cancel();
    if (!collector_) return;
    collector_->close();
    loop_.bury(std::move(collector_));
}

void PlatformSide::dial() {
    if (!owner_.holder()) return;
    collects_ = *owner_.holder();
    transport::Connection::Handlers handlers;
    handlers.connected = [this] {
        up_ = true;
        (void)backoff_.succeeded();
        const protocol::Json agent{{"type", "agent"}, {"site", settings_.zone}};
        (void)collector_->write(protocol::frame(agent.dump()));
    };
    handlers.received = [](std::string_view) {};  // nothing is said to a collector
    handlers.ended = [this](transport::Ended how) {
        log_("reports",
             settings_.platform[collects_].name + " does not take reports: " + transport::name(how));
        loop_.bury(std::move(collector_));
        up_ = false;
        if (heard_) redialling_.after(backoff_.failed());
    };
    collector_ = std::make_unique<transport::Connection>(
        loop_, *transport::parseAddress(settings_.platform[collects_].planner), kDialWithin, kBehindMost,
        std::move(handlers));
}

// What is written counts as told: it is never said twice, whatever becomes of it.
void PlatformSide::report() {
    mergeRecent(gathered_, gateway_.takeCount(), kSpanMost);
    if (up_ && heard_) {
        const Count count = std::exchange(gathered_, {});
        const std::string bytes = messagesOf(count, settings_, gateway_.steering().classes());
        if (!bytes.empty() && !collector_->write(bytes)) {
            log_("reports", settings_.platform[collects_].name + " reads no reports; it is dialled anew");
            hangUp();
            redialling_.after(backoff_.failed());
        }
    }
    reporting_.after(settings_.reportEvery);
}

void PlatformSide::bye() {
    if (const auto holder = owner_.holder())
        tell(*seats_[*holder], "* bye " + std::to_string(settings_.relay) + "\r\n");
    report();
}

}  // namespace marldale::proxy
