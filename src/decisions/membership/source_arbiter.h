// Decides which source's reports count. A zone's collector may report over several protocols at once, and a
// box may report for itself what its zone's collector reports of it too; the decision module must see each
// try once. No I/O; times are passed in.
//
// A *source* is one reporting party on one protocol. A *row* is what the proxies of one zone report of one
// server, or what one proxy reports of one class. Each row is held by one source, whose reports of it count.
// docs/notes/grpc.md states the rules and their reasons.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

using SourceId = std::uint32_t;
inline constexpr SourceId kPlatformSource = 0;  // all of the platform's collectors

struct ArbiterRules {
    Micros reportEvery = 2000000;  // the interval at which sources report
    Micros slack = 1500000;        // by which reports may be late
    Micros maxSpan = 60000000;     // that one report of a row may cover, however long the row was silent
    double minPart = 0.125;        // of a report's span; a smaller part of it is not used

    /// A source that has not reported for this long loses its rows. While another valid source reports a row,
    /// the row is thus without reports for at most this and one interval, or twice this and one interval if
    /// its holder reports, but not this row.
    [[nodiscard]] Micros silence() const { return 2 * reportEvery + slack; }
};

/// The holders of all rows.
class SourceArbiter {
public:
    struct Counts {
        std::uint64_t taken = 0;    // rows that were passed on
        std::uint64_t cut = 0;      // of these, in part: the rest of their span was covered before
        std::uint64_t notHeld = 0;  // left out: another source holds the row
        std::uint64_t covered = 0;  // left out: their span was covered before
        std::uint64_t changes = 0;  // of a row's holder
    };
    struct Change {  // of a row's holder
        SourceId from = 0, to = 0;
        std::string why;
    };

    explicit SourceArbiter(ArbiterRules rules) : rules_(rules) {}

    /// What to pass on of a row, possibly scaled down to a part of its span; nothing if it is left out.
    [[nodiscard]] std::optional<ServerStats> admit(SourceId source, const ServerStats& row, Micros now);
    [[nodiscard]] std::optional<ProxyDemand> admit(SourceId source, const ProxyDemand& row, Micros now);

    /// The source has sent something.
    void heard(SourceId source, Micros now);
    /// The source has sent a row that is invalid.
    void rowRejected(SourceId source, Micros now);
    /// The source has closed in an orderly way: others may take over its rows at once.
    void ended(SourceId source);
    /// Forgets rows and sources that have been silent for long; to be called now and then.
    void sweep(Micros now);

    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t rows() const { return rows_.size(); }
    [[nodiscard]] std::size_t sources() const { return sources_.size(); }
    /// The changes of holders since the last call, one for each pair of sources and reason.
    [[nodiscard]] std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

private:
    enum class Kind : std::uint8_t { server, proxy };
    using Key = std::tuple<Kind, std::uint32_t, std::uint32_t>;
    struct Source {
        Micros lastHeard = 0;
        std::bitset<32> invalid;  // which of its last rows were, the latest in bit 0
        bool ended = false;
    };
    struct Row {
        SourceId holder = 0;
        Micros lastReport = 0;    // of the holder
        Micros coveredUntil = 0;  // advanced by the span of each report that is taken
        int claims = 0;           // reports by others, with tries, since the holder's last one
    };

    // The fraction of a report that is taken; 0 if it is left out.
    [[nodiscard]] double part(SourceId source, const Key& key, Micros span, bool hasTries, Micros now);
    [[nodiscard]] const char* whyReleased(const Row& row, bool hasTries, Micros now) const;
    void noteChange(SourceId from, SourceId to, const char* why);

    ArbiterRules rules_;
    std::map<Key, Row> rows_;
    std::map<SourceId, Source> sources_;
    Counts counts_;
    std::vector<Change> changes_;
};

}  // namespace marldale::membership
