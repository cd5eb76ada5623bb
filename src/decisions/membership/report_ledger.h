// The sequence numbers of the reports of each node, so that a report that is resent after a broken connection
// counts once. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "policy/types.h"

namespace marldale::membership {

/// Detects duplicate reports, for a bounded number of nodes.
class ReportLedger {
public:
    static constexpr std::size_t kMaxNodes = 4096;
    static constexpr Micros kForgetAfter = 600000000;

    /// A node opens a stream. `incarnation` is new with each start of the node. Returns the last sequence
    /// number that was taken from it; 0 if the node is unknown or has another incarnation, which begins anew
    /// and sends no old reports.
    [[nodiscard]] std::uint64_t begin(const std::string& node, std::uint64_t incarnation, Micros now);

    /// Whether a report is new; it is taken then. Sequence numbers grow; gaps are reports that the node has
    /// lost.
    [[nodiscard]] bool take(const std::string& node, std::uint64_t sequence, Micros now);
    /// Undoes `take`, for a report that could not be processed for lack of space: the node may resend it.
    void undoTake(const std::string& node, std::uint64_t sequence);

    /// The last sequence number that was taken from the node.
    [[nodiscard]] std::uint64_t taken(const std::string& node) const;
    [[nodiscard]] std::uint64_t duplicates() const { return duplicates_; }
    [[nodiscard]] std::size_t nodes() const { return nodes_.size(); }

private:
    struct Node {
        std::uint64_t incarnation = 0, lastTaken = 0;
        Micros lastHeard = 0;
    };
    std::map<std::string, Node> nodes_;
    std::uint64_t duplicates_ = 0;
};

}  // namespace marldale::membership
