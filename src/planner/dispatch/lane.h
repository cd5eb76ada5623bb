// One stream to a relay: what it holds, the batch that is out, and what follows from its answers. No I/O;
// time is told.
//
// A lane has at most one batch out. Once that is answered, the next brings what differs by then between the
// book and what the lane holds: a lane that is behind gathers no queue.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/message_ledger.h"
#include "dispatch/table_book.h"

namespace marldale::dispatch {

using LaneId = std::uint32_t;
inline constexpr LaneId kPlatform = 0;  // the platform's relay

// Start a table with the lines and levels that the relay holds in another one.
struct LayOrder {
    TableId table = 0, like = 0;
    bool operator==(const LayOrder&) const = default;
};
// The table must have this hash by now, or the batch is refused here.
struct CheckOrder {
    TableId table = 0;
    std::uint64_t hash = 0;
    bool operator==(const CheckOrder&) const = default;
};
using LaneOrder =
    std::variant<protocol::LineOrder, protocol::ClearOrder, protocol::BindOrder, protocol::ShutOrder,
                 protocol::LevelOrder, protocol::MarkOrder, LayOrder, CheckOrder>;

// As the platform would write it, for the log.
[[nodiscard]] std::string laneOrderText(const LaneOrder& order, const std::vector<std::string>& classes);

struct Batch {
    std::uint64_t nonce = 0;  // grows; its answer names it
    std::vector<LaneOrder> orders;
    std::vector<ProxyId> concerned;  // of the lane's proxies
};

struct LaneRules {
    bool maySkipLines = true;                                  // it knows LayOrder and CheckOrder
    Micros answerWithin = std::numeric_limits<Micros>::max();  // of a batch; later its outcome is unknown
    std::size_t bytesMost = std::numeric_limits<std::size_t>::max();  // of a batch, about; the rest follows
};

// What a relay held when its stream ended: enough to go on from there if it comes back and says what it took.
struct Parted {
    struct Held {
        Version born = 0, upTo = 0;
        bool operator==(const Held&) const = default;
    };
    using Tables = std::map<TableId, Held>;
    Tables held, withOut;                 // without and with the batch that was out
    std::uint64_t answered = 0, out = 0;  // their nonces; 0: there is none
};

// What a relay that comes back says of itself.
struct Returning {
    std::string node;             // who it is; empty: it can't be remembered
    std::uint64_t epoch = 0;      // of the planner that it last took a batch from
    std::uint64_t lastTaken = 0;  // that batch's nonce
};

class Lane {
public:
    explicit Lane(LaneRules rules, std::uint64_t nonce) : rules_(rules), nonce_(nonce) {}

    void own(ProxyId proxy) { proxies_[proxy] = 0; }
    void disown(ProxyId proxy) { proxies_.erase(proxy); }
    [[nodiscard]] const std::map<ProxyId, Version>& proxies() const { return proxies_; }

    // Before any batch: it holds these tables, and knows all shuts up to this version.
    void begin(Parted::Tables held, Version shutsUpTo);
    // What is remembered of a lane that ends.
    [[nodiscard]] std::optional<Parted> part() const;

    // A turn has ended with this mark, or with none. Whoever it concerns answers it once.
    void turned(std::optional<protocol::MarkOrder> mark);

    // What is to be sent now, if anything: the difference, what is sent anew, or what did not fit. `messages`
    // tells when, and is told what goes.
    [[nodiscard]] std::optional<Batch> next(const TableBook& book, MessageLedger& messages, Micros now);

    struct Verdict {
        std::vector<std::string> told;  // for the log
        bool ends = false;              // the lane is of no use any more
        bool forget = false;            // and what it held is not to be trusted
    };
    // `classes`: their names, for the log.
    [[nodiscard]] Verdict answered(std::uint64_t nonce, std::size_t taken, const std::string& reason,
                                   const std::vector<std::string>& classes);
    // The batch that is out was carried out, by one who drops and sends anew for himself.
    void settled() {
        if (out_) settle();
    }
    // What time has brought: a batch without an answer.
    [[nodiscard]] Verdict due(Micros now) const;
    [[nodiscard]] std::optional<Micros> nextDue() const;

    // The marks that an answer to `mark` speaks for, the earliest first.
    [[nodiscard]] std::vector<std::uint16_t> marksOf(std::uint16_t mark) const;

    // Nothing is out, and nothing waits for its time.
    [[nodiscard]] bool clear() const { return !out_ && !waitUntil_; }
    [[nodiscard]] const Parted::Tables& held() const { return held_; }
    // Lines that the relay did not have to be sent since this was asked, because it held them elsewhere.
    [[nodiscard]] std::size_t takeLinesSaved() { return std::exchange(linesSaved_, 0); }

private:
    struct Out {
        Batch batch;                       // all of it; the nonce is that of the part that was sent last
        std::size_t first = 0;             // orders taken so far
        std::size_t end = 0;               // of the part that was sent last
        std::size_t refusedAt = SIZE_MAX;  // an order that was refused once
        Micros sentAt = 0;
        bool waits = true;    // there is a part to be sent
        Parted::Tables held;  // once it is taken
        std::map<ProxyId, Version> told;
        Version shutsUpTo = 0;
    };
    class Difference;

    [[nodiscard]] bool prepare(const TableBook& book);
    [[nodiscard]] Batch nextPart(Micros now);
    void settle();
    void goOn();
    void refused(const std::string& why, const std::vector<std::string>& classes, Verdict& verdict);

    LaneRules rules_;
    std::uint64_t nonce_;  // of the last batch
    std::uint64_t answered_ = 0;
    std::map<ProxyId, Version> proxies_;  // up to which version its binds are told
    Parted::Tables held_;
    Version shutsUpTo_ = 0;
    bool refused_ = false;  // something was, so what it holds can't be told by a nonce
    bool dropped_ = false;  // something was, for good: what it holds is not all that was ordered
    std::optional<Out> out_;
    std::vector<std::uint16_t> marks_;  // of turns since the last batch
    bool everyProxy_ = false;
    std::deque<std::vector<std::uint16_t>> covered_;  // marks that went as one, the last one speaking for all
    std::optional<Micros> waitUntil_;                 // a proxy would get a message too many before
    std::size_t linesSaved_ = 0;
};

}  // namespace marldale::dispatch
