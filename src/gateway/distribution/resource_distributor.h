// What the proxies of this controller hold of the configuration and of the servers, and what goes to them
// next: the module's distribution (docs/design.md, 1 to 6) over resources with names. Each zone shares one
// table; proxies that join, and those silent past the timeout, get a fresh marked copy. A push looks only at
// what a journal says has changed since the table's last push; all hashes are compared for fresh copies and
// binds alone. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/distribution/change_journal.h"
#include "marldale/gateway/internal.pb.h"
#include "policy/distribution.h"

namespace marldale::distribution {

namespace proto = gateway::proto;
using ProxyId = ProxyId;

/// A resource that every proxy should hold.
struct DesiredResource {
    Hash hash = 0;  // never 0
    proto::Resource line;
    bool urgent = false;  // it skips the wait
};

class ResourceDistributor {
public:
    ResourceDistributor() = default;
    ResourceDistributor(const ResourceDistributor&) = delete;
    ResourceDistributor& operator=(const ResourceDistributor&) = delete;

    /// Everyone should hold this from now on. Keys: "r host path" routes, "s name" services, "b name"
    /// budgets, "l" limits, "z zone" emptied zones, "v id" servers, "x id" servers that nobody may hold. Says
    /// whether it differs from what was wanted before.
    bool put(const std::string& key, DesiredResource wanted);
    /// Nobody should hold this any more.
    void remove(const std::string& key);
    [[nodiscard]] const std::map<std::string, DesiredResource>& desired() const { return wanted_; }

    /// The proxy gets all that is wanted, in the next turn, whatever it was sent before.
    void join(ProxyId proxy, const std::string& zone);
    void leave(ProxyId proxy);
    /// The proxy has put into force what it was sent under this mark.
    void answered(ProxyId proxy, std::uint64_t mark);

    /// What goes out once, the same to several proxies.
    struct Batch {
        std::uint64_t mark = 0;
        bool fresh = false;     // all that is wanted
        bool complete = false;  // after it the proxies hold all that is wanted
        std::vector<proto::Resource> lines;
        std::vector<ProxyId> proxies;
    };
    /// What goes out now. A proxy is in one batch at most.
    [[nodiscard]] std::vector<Batch> turn(Micros now);
    /// When the next turn has something to send without a further change or answer: at the end of the wait
    /// for a silent proxy. INT64_MAX where nothing waits.
    [[nodiscard]] Micros nextDue() const;
    /// The number of the last turn, and of the oldest one that some proxy was sent and has not answered.
    [[nodiscard]] std::uint64_t lastTurn() const { return tables_.turn; }
    [[nodiscard]] std::optional<std::uint64_t> oldestUnanswered() const;
    /// Whether a proxy has been sent something that it has not answered.
    [[nodiscard]] bool unanswered(ProxyId proxy) const;

private:
    struct Port {
        ResourceDistributor& distributor;
        const std::map<std::string, DesiredResource>& wanted(const std::string& /*zone*/) const {
            return distributor.wanted_;
        }
        static Hash hash(const DesiredResource& line) { return line.hash; }
        [[nodiscard]] double priority(const std::string& zone, const std::string& key,
                                      const DesiredResource* now, Hash held) const;
        static std::size_t slot(const std::string& /*zone*/) { return 0; }
        static double lineBudget(std::size_t /*proxies*/, bool /*urgent*/) {
            return 1e9;
        }  // links are wide: nothing waits for room
        static bool mayWrite(const std::set<ProxyId>& /*proxies*/, double /*lines*/, bool /*urgent*/) {
            return true;
        }
        static bool mayCopy(const std::set<ProxyId>& /*proxies*/) { return true; }
        void line(TableId table, const std::string& key, const DesiredResource* now) const;
        static void drop(TableId /*table*/) {}
        void bind(ProxyId proxy, TableId table) const;
        void wrote(ProxyId proxy, double lines) const;
    };
    using FullComparison = policy::Distribution<std::string, DesiredResource, std::string, ProxyId, Port>;
    // The module's distribution, but for pushes to a table whose position in the journal is known: these
    // look at what has changed since and at nothing else.
    struct Tables : FullComparison {
        using FullComparison::FullComparison;
        void pushChanged(TableId id, Table& table);
        void run();
        void settlePositions();

        std::map<TableId, ChangeNumber> positions;  // up to which the table was pushed
    };

    // Lines that go out in this turn to several proxies.
    using PartNumber = std::size_t;
    PartNumber addPart(std::vector<proto::Resource> lines);
    [[nodiscard]] std::vector<proto::Resource> difference(const Tables::Table* from,
                                                          const Tables::Table& to) const;
    [[nodiscard]] std::vector<Batch> batches();

    std::map<std::string, DesiredResource> wanted_;
    ChangeJournal<std::string> journal_;
    Port port_{*this};
    Tables tables_{port_, kTimeout, kFold};
    std::map<ProxyId, std::string> joining_;
    std::map<ProxyId, TableId> holding_;  // the table that a proxy was sent; without one it holds nothing

    // Of the present turn.
    std::vector<std::vector<proto::Resource>> parts_;
    std::map<TableId, PartNumber> pushParts_;
    std::map<std::pair<TableId, TableId>, PartNumber> bindParts_;  // from (0: nothing) and to
    std::map<ProxyId, std::vector<PartNumber>> outgoing_;

    static constexpr Micros kTimeout =
        500000;  // an unanswered mark holds later changes this long; they are due everywhere in 2 s
    static constexpr Micros kFold = 2000000;
};

}  // namespace marldale::distribution
