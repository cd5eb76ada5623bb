// Brings what the module orders to every lane that it concerns. No I/O: it is told what happens, and says
// what is to be done.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/lane.h"

namespace marldale::dispatch {

struct DispatchRules {
    std::vector<std::string> classes;  // names, by index
    LaneRules platform, stream;        // of the platform's lane, of every other
    std::uint32_t messagesMost = 0;    // to one proxy within messagesOver, on all streams; 0: no such limit
    Micros messagesOver = 0;
    Micros arrivalJitter = 150000;      // by which two messages may arrive closer than they left
    Micros platformHold = 500000;       // the module waits for the platform's relay no longer
    Micros remember = 60000000;         // what a lane held, after it has ended
    std::size_t rememberedMost = 4096;  // lanes
    std::uint64_t epoch = 1;            // this planner's, new with each start
};

// A lane that opens is told this first.
struct Welcome {
    LaneId lane = 0;
    bool kept = false;              // what it holds still stands; else all table numbers are void
    std::vector<std::string> shut;  // servers that are shut out
};
struct SendBatch {
    LaneId lane = 0;
    Batch batch;
};
struct EndLane {
    LaneId lane = 0;
    std::string why;
};
using Command = std::variant<Welcome, SendBatch, EndLane>;

class Dispatcher {
public:
    using Tell = std::function<void(const std::string& text)>;  // a line for the log

    // The platform's lane stands from the beginning.
    Dispatcher(DispatchRules rules, Tell tell);

    // A stream has opened, or ended. A lane's number is never used again.
    void open(LaneId lane, const Returning& returning, Micros now);
    void close(LaneId lane, Micros now);

    // A proxy has joined on a lane (and holds none of our tables), or is on none any more.
    void own(ProxyId proxy, LaneId lane);
    void disown(ProxyId proxy);

    // A turn's orders, in order.
    void turn(const std::vector<protocol::Order>& orders, Micros now);
    void answered(LaneId lane, std::uint64_t nonce, std::size_t taken, const std::string& reason, Micros now);
    // The platform's call is settled, whatever became of it.
    void platformSettled(Micros now);
    // What time has brought.
    void due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    // Until when the module must not take its next turn because of a call that is out to the platform.
    [[nodiscard]] std::optional<Micros> heldUntil() const { return heldUntil_; }

    // All marks that a proxy's answer to one speaks for.
    [[nodiscard]] std::vector<std::uint16_t> marksOf(LaneId lane, std::uint16_t mark) const;

    // What is to be done, in order; each is handed out once.
    [[nodiscard]] std::vector<Command> take() { return std::exchange(commands_, {}); }

    // The module has lost everything and orders anew from the first table on: what it ordered before is void.
    // Every proxy is on no lane until `own` says so again.
    void startOver();

    [[nodiscard]] std::size_t proxies(LaneId lane) const;
    [[nodiscard]] const TableBook& book() const { return book_; }
    [[nodiscard]] std::size_t lanes() const { return lanes_.size(); }
    [[nodiscard]] std::size_t remembered() const { return parted_.size(); }
    // Lines that relays did not have to be sent, because they held them.
    [[nodiscard]] std::uint64_t linesSaved() const { return linesSaved_; }

private:
    struct Open {
        Lane lane;
        std::string node;
        bool ends = false;    // it has been told to end, and gets nothing more
        bool forget = false;  // what it holds is not to be trusted
    };
    struct Memory {
        Parted parted;
        Micros at = 0;
    };

    void send(LaneId id, Open& open, Micros now);
    void apply(LaneId id, Open& open, const Lane::Verdict& verdict);
    void forgetOld(Micros now);

    DispatchRules rules_;
    Tell tell_;
    TableBook book_;
    std::map<LaneId, Open> lanes_;
    std::map<ProxyId, LaneId> owners_;
    std::map<std::string, Memory> parted_;  // by node
    std::uint64_t nonces_ = 0;              // given to lanes that have ended: none is used twice
    MessageLedger messages_;                // to proxies on streams
    MessageLedger unlimited_{0, 0, 0};      // the platform's calls have a ledger of their own
    std::optional<Micros> heldUntil_;
    std::vector<Command> commands_;
    std::uint64_t linesSaved_ = 0;
};

}  // namespace marldale::dispatch
