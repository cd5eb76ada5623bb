// A planner instance: the real module behind the real translator, with its channel to the relays, its list
// and its memory. It knows no calendar: it is told what came, and says what leaves its channel and when.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/scenario.h"
#include "emulator/tables.h"
#include "recovery/memory.h"
#include "routing/planner_core.h"

namespace marldale::emulator {

// A list entry as discovery has it.
struct Listed {
    BoxNumber box = 0;
    std::uint32_t zone = 0;
    ServerState state = ServerState::ready;
    Micros boot = 0;
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
};
struct DemandRow {
    std::uint32_t relay = 0, klass = 0, came = 0, failed = 0;
    bool spoilt = false;
};

[[nodiscard]] std::string uidOf(BoxNumber box);

class Instance {
public:
    struct Sent {  // a message that has left the channel
        Micros at = 0;
        Message message;
    };
    Instance(const Scenario& scenario, std::uint32_t number, std::uint64_t incarnation,
             const std::unordered_map<std::string, BoxNumber>& numbers, const ListedNews& known, Micros now,
             Micros skew);

    // ---- What comes: it is gathered until `step` ----

    void hear(const ListedNews& news, Micros now);
    void joined(std::uint32_t relay, std::uint32_t zone, double rate, bool fresh);
    void left(std::uint32_t relay);
    void answered(std::uint32_t relay, std::uint16_t mark, Micros took);
    void hear(const std::vector<SumRow>& sums, const std::vector<DemandRow>& demand, Micros over, Micros now);
    // One turn, if anything came or is due; what it orders goes into the channel.
    void step(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    // ---- What goes ----

    // Messages in the order in which they leave, with the time at which they do.
    [[nodiscard]] std::vector<Sent> takeSent();
    [[nodiscard]] double waiting(Micros now) const;  // lines in the channel
    struct Turn {
        std::size_t events = 0, orders = 0, proxies = 0;
        double lines = 0;
    };
    [[nodiscard]] std::optional<Turn> takeTurn();

    // ---- Memory ----

    [[nodiscard]] recovery::Handover handOver(Micros now) { return memory_.handOver(now); }
    void recall(const recovery::Handover& handover, Micros age, Micros now);

    double linesPerS;  // of the channel; a trouble may slow it

private:
    [[nodiscard]] Micros mine(Micros now) const { return now + skew_; }
    void ordered(const std::vector<protocol::Order>& orders, const std::vector<ProxyId>& audience);
    [[nodiscard]] protocol::CatalogNews catalog(const ListedNews& news) const;
    void tellMemory(const protocol::CatalogNews& news, Micros now);

    const Scenario& scenario_;
    const protocol::Config config_;
    const Micros skew_;  // of its clock
    recovery::Memory memory_;
    std::map<std::string, protocol::CatalogEntry> list_;
    std::uint64_t version_ = 0;
    Book book_;
    std::vector<routing::Input> inputs_;
    std::unique_ptr<routing::PlannerCore> core_;
    Micros now_ = 0, free_ = 0;  // the channel has sent all by then
    std::vector<Sent> sent_;
    std::optional<Turn> turn_;
};

// The platform's configuration for a scenario, as this instance reads it.
[[nodiscard]] protocol::Config configOf(const Scenario& scenario, std::uint32_t number,
                                        std::uint64_t incarnation);

}  // namespace marldale::emulator
