// Which servers there are, by their own calls: beats, sign-offs, silence. Shared among the controllers as
// differences; after a loss it is built anew from the servers' next beats. A departure (`emptying`, or a
// sign-off) is final for the incarnation that said it: no other word, older or newer, takes it back. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::registry {

namespace proto = gateway::proto;

struct Settings {
    Micros beatEvery = 1500000;
    double missed = 3.1;         // beats that may be missed before a silent server counts as gone
    Micros hintFor = 2500000;    // a recalled server has so long to beat
    Micros hintFresh = 6000000;  // an older word says nothing of cold times
    Micros hintCold = 5000000;
    Micros aliveFor = 3000000;   // an answer to a proxy speaks for a silent server this long
    Micros goneKept = 60000000;  // what has departed is remembered, lest a late beat bring it back
    std::size_t most = 20000;
};

struct Server {
    proto::Server report;  // as of its newest call
    Micros heardAt = 0;    // by anyone
    Micros firstAt = 0;
    Micros coldUntil = 0;
    Micros aliveAt = 0;        // a proxy had an answer
    bool coldByOrder = false;  // its zone was taken back: cold until it says otherwise
    Micros orderAt = 0;
    [[nodiscard]] bool usable() const { return !report.gone() && !report.emptying(); }
};

class Registry {
public:
    explicit Registry(Settings settings) : settings_(settings) {}

    enum class ReportEffect {
        none,       // nothing new
        refreshed,  // heard again, nothing changed
        changed,
        urgent,  // it empties or has gone: must be passed on before it is answered
    };
    // A beat or a sign-off (`gone`), first hand or by another controller (then `heard_ago` tells how old).
    ReportEffect applyReport(Micros now, const proto::Server& said);
    // From an earlier run's disk, written `ago` by the time of day: gone if it doesn't beat soon, and cold
    // until then where its word is too old to tell. Never outweighs what was heard, nor a departure.
    void restore(Micros now, const proto::Server& said, Micros ago);
    // A proxy had a good answer from it.
    void recordAnswer(Micros now, const std::string& id);
    // Another incarnation has answered at its address.
    bool removeReplaced(Micros now, const std::string& id);
    // The zone's servers may have turned cold.
    void markZoneCold(Micros now, const std::string& zone, const std::map<std::string, Micros>& warmUp);
    // Silent ones go; true if any did. Where nobody was heard for a while, nobody is judged.
    bool tick(Micros now);

    [[nodiscard]] const std::map<std::string, Server>& servers() const { return servers_; }
    // Incarnations that may not come back, and since when.
    [[nodiscard]] const std::map<std::string, Micros>& departed() const { return departed_; }
    // The same for another controller, or for the disk.
    [[nodiscard]] std::vector<proto::Server> departures(Micros now) const;
    /// Of one that has departed.
    [[nodiscard]] proto::Server departure(const std::string& id, Micros now) const;
    [[nodiscard]] Micros coldLeft(const Server& server, Micros now) const;
    // For another controller.
    [[nodiscard]] proto::Server reportOf(const Server& server, Micros now) const;
    [[nodiscard]] std::uint64_t changes() const { return changes_; }
    /// The servers that have come, changed or gone since the last call, and departures that were forgotten.
    [[nodiscard]] std::set<std::string> takeChanged() { return std::exchange(changed_, {}); }

private:
    // Its id is never taken again, whatever its call count says. `at`: when it was said.
    ReportEffect signOff(const std::string& id, Micros at, Micros now);
    // A word that is older than the newest one known; only a departure still counts.
    ReportEffect heardLate(Server& server, const proto::Server& said);
    // A new incarnation at an address voids the old one.
    void claimAddress(const proto::Server& said, Micros now);
    // Takes over how long the server is still cold; returns whether that changed by more than a beat's noise.
    static bool updateColdTime(Server& server, const proto::Server& said, Micros at, Micros now);
    void noteChange(const std::string& id);
    ReportEffect update(Server& server, const proto::Server& said, Micros at, Micros now, bool isNew);

    Settings settings_;
    std::map<std::string, Server> servers_;
    std::map<std::string, std::string> byAddress_;  // the incarnation that has it
    std::map<std::string, Micros> departed_;
    Micros lastHeard_ = 0;
    std::uint64_t changes_ = 0;
    std::set<std::string> changed_;  // ids, since they were taken
};

}  // namespace marldale::registry
