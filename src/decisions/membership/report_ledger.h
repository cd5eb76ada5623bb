// Sequence numbers of reporting nodes, so that what is sent again after a break counts once. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "policy/types.h"

namespace marldale::membership {

class ReportLedger {
public:
    static constexpr std::size_t kNodesMost = 4096;
    static constexpr Micros kForgetAfter = 600000000;

    // A node's stream begins. `incarnation`: new with each start of the node. The last sequence number that
    // was taken from it; 0 if it is not known, or was another incarnation: the node begins anew, and sends no
    // old reports.
    [[nodiscard]] std::uint64_t begin(const std::string& node, std::uint64_t incarnation, Micros now);

    // Whether a report is new. Numbers grow; gaps are the node's own loss.
    [[nodiscard]] bool take(const std::string& node, std::uint64_t sequence, Micros now);
    // It could not be used after all (there was no room): the node may send it again.
    void giveBack(const std::string& node, std::uint64_t sequence);

    [[nodiscard]] std::uint64_t taken(const std::string& node) const;
    [[nodiscard]] std::uint64_t duplicates() const { return duplicates_; }
    [[nodiscard]] std::size_t nodes() const { return nodes_.size(); }

private:
    struct Node {
        std::uint64_t incarnation = 0, last = 0;
        Micros at = 0;
    };
    std::map<std::string, Node> nodes_;
    std::uint64_t duplicates_ = 0;
};

}  // namespace marldale::membership
