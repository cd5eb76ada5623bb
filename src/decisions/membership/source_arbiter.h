// Whose report counts. A zone's collector may report over several protocols at once, and a box may report for
// itself what its zone's collector reports of it too; the module must hear each try once. No I/O; time is
// told.
//
// A *source* is one reporting party over one protocol. A *row* is what is told of one server by the proxies
// of one zone, or of one proxy and class. One source holds a row. docs/notes/grpc.md has the rules and why.
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
inline constexpr SourceId kPlatformSource = 0;  // the platform's collectors, together

struct ArbiterRules {
    Micros reportEvery = 2000000;  // the interval that sources report at
    Micros slack = 1500000;        // by which words may be late
    Micros spanMost = 60000000;    // a row is told no more than this at once, however long it was silent
    double leastPart = 0.125;      // of a report's span: less of it says nothing

    // A source that has said nothing for so long holds nothing any more. For this and one interval more, at
    // the most, a row has no word while another sound source names it; for twice this where the holder speaks
    // but not of the row.
    [[nodiscard]] Micros silence() const { return 2 * reportEvery + slack; }
};

class SourceArbiter {
public:
    struct Counts {
        std::uint64_t taken = 0;    // rows that the module was told
        std::uint64_t cut = 0;      // of these, in part: the rest of their span was told before
        std::uint64_t notHeld = 0;  // left out: another source holds the row
        std::uint64_t covered = 0;  // left out: their span was told before
        std::uint64_t changes = 0;  // of a row's holder
    };
    struct Change {  // of a row's holder
        SourceId from = 0, to = 0;
        std::string why;
    };

    explicit SourceArbiter(ArbiterRules rules) : rules_(rules) {}

    // What the module is to be told of a row; nothing if it is left out.
    [[nodiscard]] std::optional<ServerStats> admit(SourceId source, const ServerStats& row, Micros now);
    [[nodiscard]] std::optional<ProxyDemand> admit(SourceId source, const ProxyDemand& row, Micros now);

    // The source has spoken, of whatever.
    void heard(SourceId source, Micros now);
    // It has sent a row that can't be used.
    void rowRejected(SourceId source, Micros now);
    // It has ended in order: what it holds is free at once.
    void ended(SourceId source);
    // Drops what was not named for long; to be called now and then.
    void sweep(Micros now);

    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t rows() const { return rows_.size(); }
    [[nodiscard]] std::size_t sources() const { return sources_.size(); }
    // Changes of holders since this was asked, one for each pair of sources and reason.
    [[nodiscard]] std::vector<Change> takeChanges() { return std::exchange(news_, {}); }

private:
    enum class Kind : std::uint8_t { server, proxy };
    using Key = std::tuple<Kind, std::uint32_t, std::uint32_t>;
    struct Source {
        Micros lastWord = 0;
        std::bitset<32> spoilt;  // of its last rows
        bool ended = false;
    };
    struct Row {
        SourceId holder = 0;
        Micros lastWord = 0;
        Micros told = 0;  // up to when: the sum of all spans that were taken, as a point in time
        int claims = 0;   // words of others, with tries, since the holder's
    };

    // The part of a row's span that is to be taken; 0: it is left out.
    [[nodiscard]] double part(SourceId source, const Key& key, Micros span, bool hasTries, Micros now);
    [[nodiscard]] const char* whyFree(const Row& row, bool hasTries, Micros now) const;
    void noteChange(SourceId from, SourceId to, const char* why);

    ArbiterRules rules_;
    std::map<Key, Row> rows_;
    std::map<SourceId, Source> sources_;
    Counts counts_;
    std::vector<Change> news_;
};

}  // namespace marldale::membership
