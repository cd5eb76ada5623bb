// A planner as a run meets it: told what came, it says what leaves its channel and when. The module within
// the run is one (`Instance`); a daemon behind sockets, made by others, may be another.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/box.h"
#include "emulator/scenario.h"
#include "emulator/tables.h"
#include "recovery/knowledge.h"

namespace marldale::emulator {

// A list entry as discovery has it.
struct Listed {
    BoxNumber box = 0;
    std::uint32_t zone = 0;
    ServerState state = ServerState::ready;
    Micros boot = 0;
    double weight = 1;
};
struct ListedNews {
    std::uint64_t version = 0;
    bool whole = false;
    std::vector<Listed> entries;
};

// What relays of one zone met at a box, and a relay's demand.
struct SumRow {
    std::uint32_t zone = 0;
    BoxNumber box = 0;
    std::uint32_t tries = 0, failed = 0;
    double time = 0;  // of the good ones, together
    LoadFigures load;
    bool spoilt = false;
    // Microseconds; 0 where none was good.
    [[nodiscard]] std::int64_t mean() const {
        return failed >= tries ? 0 : std::llround(time / (tries - failed));
    }
};
struct DemandRow {
    std::uint32_t relay = 0, klass = 0, came = 0, failed = 0;
    bool spoilt = false;
};

[[nodiscard]] std::string uidOf(BoxNumber box);

struct Sent {  // a message that has left the channel
    Micros at = 0;
    Message message;
};

// It sends one message after the other, so many lines a second.
class Channel {
public:
    Channel(double linesPerS, Micros now) : linesPerS_(linesPerS), free_(now) {}
    void setPace(double linesPerS) { linesPerS_ = linesPerS; }
    void send(Message message, Micros now) {
        free_ = std::max(free_, now) + std::llround(message.lines / linesPerS_ * 1e6);
        sent_.push_back({free_, std::move(message)});
    }
    // In the order in which they leave, with the time at which they do.
    [[nodiscard]] std::vector<Sent> takeSent() { return std::exchange(sent_, {}); }
    [[nodiscard]] double waiting(Micros now) const {  // lines
        return std::max<double>(0, static_cast<double>(free_ - now)) / 1e6 * linesPerS_;
    }

private:
    double linesPerS_;
    Micros free_;  // all is sent by then
    std::vector<Sent> sent_;
};

class PlannerLink {
public:
    struct Turn {
        std::size_t events = 0, orders = 0, proxies = 0;
        double lines = 0;
    };
    virtual ~PlannerLink() = default;

    // ---- What comes: it is gathered until `step` ----

    virtual void hear(const ListedNews& news, Micros now) = 0;
    virtual void joined(std::uint32_t relay, std::uint32_t zone, double rate, bool fresh) = 0;
    virtual void left(std::uint32_t relay) = 0;
    virtual void answered(std::uint32_t relay, std::uint16_t mark, Micros took) = 0;
    virtual void hear(const std::vector<SumRow>& sums, const std::vector<DemandRow>& demand, Micros over,
                      Micros now) = 0;
    // What hooks wish, as their guard lets it through: how listed boxes are to be taken from now on, and the
    // share of a class that is let in at a zone's relays. A planner behind sockets has hooks of its own.
    virtual void treat(const std::vector<Listed>& /*boxes*/) {}
    virtual void ceiling(std::uint32_t /*zone*/, std::uint32_t /*klass*/, double /*share*/) {}
    // One turn, if anything came or is due; what it orders goes into the channel.
    virtual void step(Micros now) = 0;
    [[nodiscard]] virtual std::optional<Micros> nextDue() const = 0;

    // ---- What goes ----

    [[nodiscard]] virtual Channel& channel() = 0;
    [[nodiscard]] virtual std::optional<Turn> takeTurn() = 0;

    // ---- Memory ----

    [[nodiscard]] virtual recovery::Handover handOver(Micros now) = 0;
    virtual void recall(const recovery::Handover& handover, Micros age, Micros now) = 0;
};

// A planner that starts, and what it finds.
struct Start {
    std::uint32_t number = 0;
    std::uint64_t incarnation = 1;
    Micros now = 0, skew = 0;  // skew: of its clock
};

}  // namespace marldale::emulator
