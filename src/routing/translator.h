// Between the names on the sockets and the module's numbers. It belongs to the module's thread.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "policy/types.h"
#include "protocol/catalog.h"
#include "protocol/config.h"
#include "protocol/order.h"
#include "protocol/relay.h"
#include "protocol/reports.h"
#include "routing/clock.h"
#include "routing/logger.h"

namespace marldale::routing {

struct ListInput {
    protocol::CatalogNews news;
    bool cached = false;
};
struct ProbeEnded {
    ServerId server = 0;
    ProbeOutcome outcome = ProbeOutcome::other;
    Micros roundTrip = 0;
    protocol::LoadValues load;
};

using Input = std::variant<ListInput, protocol::News, protocol::Report, ProbeEnded>;

class Translator {
public:
    Translator(const protocol::Config& config, Logger log);

    // Appends the module's events for one input: none, one, or several.
    void events(const Input& input, std::vector<Event>& out);

    // The order by name; nothing if the action is no order, or names what discovery has not listed.
    [[nodiscard]] std::optional<protocol::Order> named(const Action& action) const;
    [[nodiscard]] std::optional<std::string> order(const Action& action) const;  // as the platform's text

    // What these actions put into the channel at most: as if every order concerned every joined proxy.
    [[nodiscard]] double linesAtMost(const std::vector<Action>& actions) const;

    // Where a server can be probed; empty if it is not known or gone.
    [[nodiscard]] std::string endpoint(ServerId server) const;

    [[nodiscard]] std::size_t serversKnown() const { return servers_.size(); }

    // All servers as last listed, for a module that has to start over.
    [[nodiscard]] ListNews wholeList() const;

private:
    struct OrderWriter;
    struct Known {
        std::string uid, endpoint;
        ListEntry entry;
    };

    void list(const ListInput& input, std::vector<Event>& out);
    void report(const protocol::Report& report, std::vector<Event>& out);
    void proxyNews(const protocol::News& news, std::vector<Event>& out);
    void forgetGone(ServerId server);
    std::optional<ListEntry> listEntry(const protocol::CatalogEntry& entry);
    [[nodiscard]] std::optional<ServerId> serverOf(const std::string& uid) const;
    [[nodiscard]] std::optional<ZoneId> zoneOf(const std::string& name) const;
    [[nodiscard]] LoadReport loadReport(const protocol::LoadValues& values) const;
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
