// Between the names on the sockets and the module's numbers. It belongs to the module's thread.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/proxy_owners.h"
#include "policy/types.h"
#include "protocol/config.h"
#include "protocol/order.h"
#include "routing/clock.h"
#include "routing/inputs.h"
#include "routing/logger.h"

namespace marldale::routing {

class Translator {
public:
    Translator(const protocol::Config& config, Logger log);

    // Appends the module's events for one input: none, one, or several. What comes from other fronts than the
    // platform's is the junction's matter, and gives none here.
    void events(const Input& input, std::vector<Event>& out);
    // For one row of a report; false if it can't be used.
    bool report(const protocol::Report& report, std::vector<Event>& out);

    // What a hello says, in numbers; nothing, and a line in the log, if its proxy or zone is unknown.
    [[nodiscard]] std::optional<membership::ProxyAnnouncement> named(const protocol::Hello& hello) const;
    [[nodiscard]] std::optional<ServerId> serverOf(const std::string& uid) const;
    [[nodiscard]] LoadReport loadReport(const protocol::LoadValues& values) const;

    // The order by name; nothing if the action is no order, or names what discovery has not listed.
    [[nodiscard]] std::optional<protocol::Order> named(const Action& action) const;
    [[nodiscard]] std::string text(const protocol::Order& order) const;  // as the platform writes it

    // What these actions put into the channel at most: as if every order concerned every joined proxy.
    [[nodiscard]] double linesAtMost(const std::vector<Action>& actions) const;

    // Where a server can be probed; empty if it is not known or gone.
    [[nodiscard]] std::string endpoint(ServerId server) const;

    [[nodiscard]] std::size_t serversKnown() const { return servers_.size(); }

    // All servers as last listed, for a module that has to start over.
    [[nodiscard]] ServerListUpdate wholeList() const;

private:
    struct OrderWriter;
    struct Known {
        std::string uid, endpoint;
        ListEntry entry;
    };

    void list(const ListInput& input, std::vector<Event>& out);
    void proxyNews(const protocol::News& news, std::vector<Event>& out);
    void forgetGone(ServerId server);
    std::optional<ListEntry> listEntry(const protocol::CatalogEntry& entry);
    [[nodiscard]] std::optional<ZoneId> zoneOf(const std::string& name) const;
    [[nodiscard]] const std::string* uidOf(ServerId server) const;

    Logger log_;
    std::vector<std::string> zones_, classes_, kinds_, loadFields_;
    std::uint32_t proxies_;
    double envelopeLines_;
    Micros longestTry_ = 0;  // a mean above it is spoilt
    std::map<ServerId, Known> servers_;
    std::deque<ServerId> gone_;  // of these, the one that went first in front
    ServerId nextNumber_ = 0;    // numbers are never used twice
    std::unordered_map<std::string, ServerId> numbers_;
    std::uint64_t rev_ = 0;
    std::set<ProxyId> joined_;
};

}  // namespace marldale::routing
