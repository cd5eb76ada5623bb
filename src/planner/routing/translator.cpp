#include "routing/translator.h"

#include <algorithm>

#include "routing/limits.h"

namespace marldale::routing {
namespace {

std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) return std::nullopt;
    return static_cast<std::size_t>(at - names.begin());
}

}  // namespace

Translator::Translator(const protocol::Config& config, Logger log)
    : log_(std::move(log)),
      zones_(config.zones),
      classes_(config.classes),
      kinds_(config.kinds),
      loadFields_(config.settings.loadFields),
      proxies_(config.settings.proxies),
      envelopeLines_(config.settings.envelopeLines) {
    for (const ClassSettings& k : config.settings.classes) {
        longestTry_ = std::max(longestTry_, limits::kGiveUpsOfATry * std::max(k.latencyTarget, k.giveUp));
    }
}

void Translator::events(const Input& input, std::vector<Event>& out) {
    if (const auto* l = std::get_if<ListInput>(&input)) list(*l, out);
    if (const auto* n = std::get_if<protocol::News>(&input)) proxyNews(*n, out);
    if (const auto* r = std::get_if<protocol::Report>(&input)) (void)report(*r, out);
    if (const auto* p = std::get_if<ProbeEnded>(&input)) {
        out.emplace_back(ProbeResult{p->server, p->outcome, p->roundTrip, loadReport(p->load)});
    }
    if (const auto* c = std::get_if<CeilingInput>(&input)) {
        const auto zone = zoneOf(c->zone);
        const auto klass = indexOf(classes_, c->klass);
        if (zone && klass) out.emplace_back(Ceiling{*zone, static_cast<std::uint16_t>(*klass), c->share});
    }
}

std::optional<ServerId> Translator::serverOf(const std::string& uid) const {
    const auto at = numbers_.find(uid);
    if (at == numbers_.end()) return std::nullopt;
    return at->second;
}

std::optional<ZoneId> Translator::zoneOf(const std::string& name) const {
    const auto at = indexOf(zones_, name);
    if (!at) return std::nullopt;
    return static_cast<ZoneId>(*at);
}

std::optional<ListEntry> Translator::listEntry(const protocol::CatalogEntry& entry) {
    const auto known = serverOf(entry.uid);
    // What is gone needs no zone, and what was never listed can't go.
    if (entry.state == ServerState::gone) {
        if (!known) return std::nullopt;
        ListEntry out = servers_.at(*known).entry;
        out.state = ServerState::gone;
        return out;
    }
    const auto zone = zoneOf(entry.zone);
    if (!zone) {
        log_("list", "server " + entry.uid + " left out: unknown zone");
        return std::nullopt;
    }
    ListEntry out;
    out.server = known ? *known : nextNumber_++;
    out.kind = static_cast<std::uint8_t>(indexOf(kinds_, entry.kind).value_or(0));
    out.cell = entry.cell;
    out.bootTime = entry.bootUs;
    out.zone = *zone;
    out.weight = entry.weight;
    out.state = entry.state;
    numbers_.emplace(entry.uid, out.server);
    servers_[out.server] = {entry.uid, entry.endpoint, out};
    std::erase(gone_, out.server);
    return out;
}

// Those that have gone are remembered for a while, for a server may come back under its uid; not for good,
// since a fleet that is replaced all day brings new ones without end.
void Translator::forgetGone(ServerId server) {
    servers_.at(server).entry.state = ServerState::gone;
    gone_.push_back(server);
    while (gone_.size() > limits::kGoneServers) {
        numbers_.erase(servers_.at(gone_.front()).uid);
        servers_.erase(gone_.front());
        gone_.pop_front();
    }
}

void Translator::list(const ListInput& input, std::vector<Event>& out) {
    const protocol::CatalogNews& news = input.news;
    // Holds are of the version that stands; a newer list has overtaken those of an older one.
    if (input.cached && !news.whole && news.rev != rev_) return;
    // A list that goes backwards would bring servers back that have gone.
    if (!input.cached && news.rev <= rev_) {
        if (news.rev < rev_ || !news.entries.empty()) {
            log_("list", "version " + std::to_string(news.rev) + " is not after " + std::to_string(rev_) +
                             ": left out");
        }
        return;
    }
    rev_ = news.rev;
    ServerListUpdate event{news.rev, ServerListUpdateKind::delta, {}};
    if (news.whole) event.kind = input.cached ? ServerListUpdateKind::cached : ServerListUpdateKind::full;
    std::set<ServerId> named, gone;  // gone: those that had not before, so that none is pushed out meanwhile
    const auto goes = [&](ServerId id) {
        if (servers_.at(id).entry.state != ServerState::gone) gone.insert(id);
    };
    for (const protocol::CatalogEntry& entry : news.entries) {
        const auto read = listEntry(entry);
        if (!read) continue;
        named.insert(read->server);
        event.entries.push_back(*read);
        if (read->state == ServerState::gone) goes(read->server);
    }
    for (const auto& [id, server] : servers_) {
        if (news.whole && !named.count(id)) goes(id);
    }
    for (const ServerId id : gone) forgetGone(id);
    out.emplace_back(std::move(event));
}

ServerListUpdate Translator::wholeList() const {
    ServerListUpdate out{rev_, ServerListUpdateKind::cached, {}};
    for (const auto& [id, server] : servers_) out.entries.push_back(server.entry);
    return out;
}

LoadReport Translator::loadReport(const protocol::LoadValues& values) const {
    LoadReport out;
    if (values.empty()) return out;
    for (const std::string& field : loadFields_) {
        const auto at = values.find(field);
        out.push_back(at == values.end() ? 0.0F : static_cast<float>(at->second));
    }
    return out;
}

bool Translator::report(const protocol::Report& report, std::vector<Event>& out) {
    if (const auto* o = std::get_if<protocol::Outcomes>(&report)) {
        const auto server = serverOf(o->server);
        const auto zone = zoneOf(o->zone);
        if (!server || !zone) {
            log_("report",
                 "outcomes left out: unknown " + (server ? "zone " + o->zone : "server " + o->server));
            return false;
        }
        if (o->meanUs > longestTry_) {
            log_("report", "outcomes left out: no try lasts so long");
            return false;
        }
        ServerStats sums{*server, *zone, o->tries, o->failed, o->overUs, o->meanUs, loadReport(o->load)};
        out.emplace_back(std::move(sums));
    } else if (const auto* d = std::get_if<protocol::Demand>(&report)) {
        const auto klass = indexOf(classes_, d->klass);
        if (!klass || d->proxy >= proxies_) {
            log_("report",
                 "demand left out: unknown class " + d->klass + " or proxy " + std::to_string(d->proxy));
            return false;
        }
        out.emplace_back(
            ProxyDemand{d->proxy, static_cast<std::uint16_t>(*klass), d->came, d->failed, d->overUs});
    }
    return true;
}

std::optional<membership::ProxyAnnouncement> Translator::named(const protocol::Hello& hello) const {
    const auto zone = zoneOf(hello.zone);
    if (!zone || hello.proxy >= proxies_) {
        log_("news",
             "proxy " + std::to_string(hello.proxy) + " of zone " + hello.zone + " left out: unknown");
        return std::nullopt;
    }
    return membership::ProxyAnnouncement{*zone, hello.rate, hello.fresh};
}

void Translator::proxyNews(const protocol::News& news, std::vector<Event>& out) {
    if (const auto* hello = std::get_if<protocol::Hello>(&news)) {
        const auto known = named(*hello);
        if (!known) return;
        joined_.insert(hello->proxy);
        out.emplace_back(ProxyJoined{hello->proxy, known->zone, known->rate, known->fresh});
    } else if (const auto* bye = std::get_if<protocol::Bye>(&news)) {
        if (joined_.erase(bye->proxy) > 0) out.emplace_back(ProxyLeft{bye->proxy});
    } else if (const auto* ack = std::get_if<protocol::Ack>(&news)) {
        if (joined_.count(ack->proxy)) out.emplace_back(Acknowledged{ack->proxy, ack->mark, ack->tookUs});
    }
}

struct Translator::OrderWriter {
    const Translator& self;
    using Named = std::optional<protocol::Order>;
    Named operator()(const SetLine& a) const {
        const std::string* uid = self.uidOf(a.server);
        if (uid == nullptr) return std::nullopt;
        return protocol::LineOrder{a.table, *uid, a.weight};
    }
    Named operator()(const DropLines& a) const { return protocol::ClearOrder{a.table}; }
    Named operator()(const Bind& a) const { return protocol::BindOrder{a.proxy, a.table, a.classes}; }
    Named operator()(const Withdraw& a) const {
        const std::string* uid = self.uidOf(a.server);
        if (uid == nullptr) return std::nullopt;
        return protocol::ShutOrder{*uid, a.out};
    }
    Named operator()(const SetLevel& a) const {
        return protocol::LevelOrder{a.table, a.classes, a.limit, a.retryMode};
    }
    Named operator()(const Mark& a) const { return protocol::MarkOrder{a.mark, a.everyProxy}; }
    Named operator()(const auto& /*no order*/) const { return std::nullopt; }
};

const std::string* Translator::uidOf(ServerId server) const {
    const auto at = servers_.find(server);
    return at == servers_.end() ? nullptr : &at->second.uid;
}

std::optional<protocol::Order> Translator::named(const Action& action) const {
    return std::visit(OrderWriter{*this}, action);
}

std::string Translator::text(const protocol::Order& order) const {
    return protocol::orderText(order, classes_);
}

double Translator::linesAtMost(const std::vector<Action>& actions) const {
    const auto joined = static_cast<double>(joined_.size());
    const auto table = static_cast<double>(servers_.size() - gone_.size() + classes_.size() + 1);
    double lines = joined * (envelopeLines_ + 1);  // the heads, and the mark
    for (const Action& action : actions) {
        const bool binds = std::holds_alternative<Bind>(action);
        const bool changes =
            std::holds_alternative<SetLine>(action) || std::holds_alternative<DropLines>(action) ||
            std::holds_alternative<Withdraw>(action) || std::holds_alternative<SetLevel>(action);
        lines += binds ? table : changes ? joined : 0;
    }
    return lines;
}

std::string Translator::endpoint(ServerId server) const {
    const auto at = servers_.find(server);
    return at == servers_.end() || at->second.entry.state == ServerState::gone ? "" : at->second.endpoint;
}

}  // namespace marldale::routing
