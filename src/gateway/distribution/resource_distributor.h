// Tracks which configuration and server resources the proxies of this controller hold, and determines what to
// send next. Applies the distribution algorithm of the policy (docs/design.md, 1 to 6) to named resources.
// The proxies of a zone share one table; proxies that join, and those that do not acknowledge within the
// timeout, get a fresh marked copy. A push considers only the keys that a journal lists as changed since the
// table's last push; all hashes are compared only for fresh copies and binds. No I/O.
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
    Hash hash = 0;  // never 0 once set
    proto::Resource resource;
    bool urgent = false;  // sent without waiting for outstanding acknowledgements
};

/// Determines what each proxy is sent so that it holds all desired resources.
class ResourceDistributor {
public:
    ResourceDistributor() = default;
    ResourceDistributor(const ResourceDistributor&) = delete;
    ResourceDistributor& operator=(const ResourceDistributor&) = delete;

    /// Sets the resource that every proxy should hold under the key. Keys: "r host path" routes, "s name"
    /// services, "b name" budgets, "l" limits, "z zone" emptied zones, "v id" servers, "x id" servers that
    /// no proxy may hold. Returns whether the resource differs from the previous one.
    bool put(const std::string& key, DesiredResource desired);
    /// Removes the resource: no proxy should hold it any more.
    void remove(const std::string& key);
    /// Returns all resources that every proxy should hold, by key.
    [[nodiscard]] const std::map<std::string, DesiredResource>& desired() const { return desired_; }

    /// Adds a proxy, which is sent all desired resources in the next turn, whatever it was sent before.
    void join(ProxyId proxy, const std::string& zone);
    /// Removes a proxy.
    void leave(ProxyId proxy);
    /// Records that the proxy has applied what it was sent under this mark.
    void answered(ProxyId proxy, std::uint64_t mark);

    /// Resources that are sent identically to one or more proxies.
    struct Batch {
        std::uint64_t mark = 0;
        bool fresh = false;     // a full copy
        bool complete = false;  // afterwards the proxies hold all desired resources
        std::vector<proto::Resource> lines;
        std::vector<ProxyId> proxies;
    };
    /// Runs a turn and returns what to send now. A proxy is in at most one batch.
    [[nodiscard]] std::vector<Batch> turn(Micros now);
    /// Returns when the next turn has something to send without a further change or acknowledgement, which is
    /// when the timeout of an unresponsive proxy ends. INT64_MAX if nothing is waiting.
    [[nodiscard]] Micros nextDue() const;
    /// Returns the number of the last turn.
    [[nodiscard]] std::uint64_t lastTurn() const { return tables_.turn; }
    /// Returns the oldest turn that some proxy was sent and has not acknowledged.
    [[nodiscard]] std::optional<std::uint64_t> oldestUnanswered() const;
    /// Returns whether the proxy has been sent something that it has not acknowledged.
    [[nodiscard]] bool unanswered(ProxyId proxy) const;

private:
    struct Port {
        ResourceDistributor& distributor;
        const std::map<std::string, DesiredResource>& wanted(const std::string& /*zone*/) const {
            return distributor.desired_;
        }
        static Hash hash(const DesiredResource& line) { return line.hash; }
        [[nodiscard]] double priority(const std::string& zone, const std::string& key,
                                      const DesiredResource* now, Hash held) const;
        static std::size_t slot(const std::string& /*zone*/) { return 0; }
        static double lineBudget(std::size_t /*proxies*/, bool /*urgent*/) {
            return 1e9;
        }  // links have enough bandwidth: pushes are not limited
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
    // The distribution algorithm of the policy, except that a push to a table with a known position in the
    // journal considers only the keys that have changed since then.
    struct Tables : FullComparison {
        using FullComparison::FullComparison;
        void pushChanges(TableId id, Table& table);
        void run();
        void updatePositions();

        std::map<TableId, ChangeNumber> positions;  // the last change that was pushed to the table
    };

    // A list of resources that is sent to several proxies in this turn.
    using PartNumber = std::size_t;
    PartNumber addPart(std::vector<proto::Resource> lines);
    [[nodiscard]] std::vector<proto::Resource> difference(const Tables::Table* from,
                                                          const Tables::Table& to) const;
    [[nodiscard]] std::vector<Batch> batches();

    std::map<std::string, DesiredResource> desired_;
    ChangeJournal<std::string> journal_;
    Port port_{*this};
    Tables tables_{port_, kAcknowledgementTimeoutUs, kFoldIntervalUs};
    std::map<ProxyId, std::string> joiningProxies_;
    std::map<ProxyId, TableId> heldTables_;  // the last table sent to a proxy; no entry: it holds nothing

    // State of the current turn.
    std::vector<std::vector<proto::Resource>> parts_;
    std::map<TableId, PartNumber> pushParts_;
    std::map<std::pair<TableId, TableId>, PartNumber> bindParts_;  // by source (0: none) and target
    std::map<ProxyId, std::vector<PartNumber>> outgoing_;

    // An unacknowledged mark delays later changes this long; changes are due everywhere within 2 s.
    static constexpr Micros kAcknowledgementTimeoutUs = 500000;
    static constexpr Micros kFoldIntervalUs = 2000000;
};

}  // namespace marldale::distribution
