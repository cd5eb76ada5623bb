// One process of control: its part of the replicated log, the registry of servers, the decision modules for the sluices
// that are bound to it, and what it tells them. One thread, and one more that waits for the disk.
#pragma once

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/aqueduct/steering.h"
#include "gateway/confluence/view.h"
#include "gateway/gauges/registry.h"
#include "gateway/headworks/control.h"
#include "gateway/headworks/disk_writer.h"
#include "gateway/ledger/replica.h"
#include "gateway/links/datagrams.h"
#include "gateway/links/link.h"
#include "gateway/plans/plans.h"
#include "gateway/settings/settings.h"

namespace marldale::headworks {

namespace proto = gateway::proto;

class Headworks {
public:
    Headworks(boost::asio::io_context& io, settings::Settings settings);
    ~Headworks();
    Headworks(const Headworks&) = delete;
    Headworks& operator=(const Headworks&) = delete;

    [[nodiscard]] absl::Status start();
    void reload(const settings::Settings& settings);  // seeds
    void stop(std::function<void()> done);            // hands the lead over, lets go of sluices, ends calls

    // ---- for the calls ----
    void beat(proto::Server said, Answer answer);
    void leave(const std::string& id, Answer answer);
    void change(std::string change, Answer answer);  // ordered by the log, answered once in force here
    void read(Answer answer);
    [[nodiscard]] std::string status() const;
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }

private:
    struct PeerLink {                       // dialed by this process
        std::shared_ptr<links::Link> link;  // nothing: none stands
        bool dialing = false;
        Micros nextDial = 0;
    };
    struct Sluice {
        std::shared_ptr<links::Link> link;
        proto::Peer peer;
        bool copied = false;                           // it has had its fresh copy
        std::map<std::string, std::uint64_t> held;     // hash by key: acknowledged
        std::map<std::string, std::uint64_t> pending;  // under the unanswered mark; 0: dropped
        std::uint64_t mark = 0;                        // 0: none is unanswered
        Micros markAt = 0;
        std::uint64_t index = 0;  // of the configuration it holds
    };
    struct Wanted {
        std::uint64_t hash = 0;
        proto::Line line;  // servers' cold times are filled in when it is sent
        bool urgent = false;
    };
    struct Waiting {  // a call that waits for its change
        ledger::Term term = 0;
        Answer answer;
        Micros until = 0;
    };
    struct Reading {
        Answer answer;
        Micros until = 0;
    };
    struct Held {  // a call that waits for a leader to be known
        std::string change;  // empty: a read
        Answer answer;
        Micros until = 0;
    };
    struct Telling {  // an urgent word on its way to another headworks
        Answer answer;
        Micros until = 0;
    };

    void acceptInside();
    void arrived(boost::asio::ip::tcp::socket socket);
    void heard(const std::shared_ptr<links::Link>& link, const proto::Frame& frame);
    void heardNews(const std::shared_ptr<links::Link>& link, const proto::ServerNews& news);
    void heardHello(const std::shared_ptr<links::Link>& link, const proto::Hello& hello);
    void closed(const links::Link* link);

    void arm();
    void tick();
    void dialPeers(Micros now);
    void tellPeers(const proto::Frame& frame);
    void keepHints(Micros now);
    void readHints(Micros now);
    void sendNews(Micros now);
    [[nodiscard]] proto::Frame newsOf(const std::vector<std::string>& ids, bool whole, Micros now) const;
    void apart(std::function<void()> step, Micros after);
    void work();  // takes what the replica has ready, until it has nothing
    void applied(const proto::Entry& entry);
    void redirect(const Answer& answer) const;
    [[nodiscard]] bool whole(Micros now) const;

    void serversChanged(Micros now);
    void plansChanged(Micros now);
    void flush(Micros now, bool urgent);
    void flushTo(aqueduct::SluiceId id, Sluice& sluice, Micros now, bool urgent);
    void runModules(Micros now);
    void sendWord(Micros now);
    void countSluices(Micros now);
    void order(Held held, Micros now);
    void endLate(Micros now);
    void letGo(aqueduct::SluiceId id);

    boost::asio::io_context& io_;
    settings::Settings settings_;
    const Micros startedAt_;
    std::uint64_t life_;
    confluence::View view_;
    links::Datagrams datagrams_;
    gauges::Registry registry_;
    plans::Plans plans_;
    aqueduct::Steering steering_;
    std::unique_ptr<ledger::Replica> replica_;
    std::unique_ptr<DiskWriter> disk_;
    Control control_;
    boost::asio::ip::tcp::acceptor inside_;
    boost::asio::steady_timer timer_;
    Micros armedFor_ = 0;

    std::map<std::string, PeerLink> peers_;                     // by inside address
    std::map<const links::Link*, std::shared_ptr<links::Link>> open_;  // accepted
    std::map<const links::Link*, std::string> names_;           // greeted on: inside address
    std::map<aqueduct::SluiceId, Sluice> sluices_;
    std::map<const links::Link*, aqueduct::SluiceId> sluiceOf_;
    aqueduct::SluiceId lastSluice_ = 0;
    std::map<std::string, Wanted> wanted_;
    std::uint64_t lastMark_ = 0;
    bool flushDue_ = false, flushUrgent_ = false;

    std::multimap<ledger::Index, Waiting> waiting_;
    std::map<std::uint64_t, Reading> reading_;
    std::deque<Held> held_;
    std::uint64_t lastTicket_ = 0;
    std::map<std::uint64_t, Telling> telling_;
    std::uint64_t lastNews_ = 0;
    std::set<std::string> newsDue_;
    std::map<std::string, std::pair<Micros, std::uint32_t>> sluicesAt_;  // of other headworks: when told, how many
    std::size_t sluicesMost_ = 0;  // of the last half minute: parts that were handed out may still be in use
    Micros sluicesMostAt_ = 0;
    bool gotWhole_ = false, stopping_ = false, working_ = false;
    std::string lastLeader_;
    Micros nextWord_ = 0, nextNews_ = 0, nextSweep_ = 0, nextHints_ = 0;
    std::uint64_t sinceSnapshot_ = 0;
    std::vector<std::string> contacts_;
};

}  // namespace marldale::headworks
