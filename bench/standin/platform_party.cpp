#include "standin/platform_party.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/frames.h"

namespace marldale::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kBuffer = std::size_t{64} << 20U;
constexpr transport::Millis kQuietEvery{900};

const char* name(BoxState state) {
    switch (state) {
        case BoxState::ready: return "ready";
        case BoxState::draining: return "draining";
        case BoxState::gone: return "gone";
    }
    return "?";
}

double millis(Micros micros) { return static_cast<double>(micros) / kMs; }

std::vector<std::string> fields(const std::string& text, char between) {
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string field; std::getline(in, field, between);) out.push_back(field);
    return out;
}

}  // namespace

// An order's text as the message of the gRPC protocol that says the same, so that both stand-ins hold tables
// alike.
v1::Order readOrder(const std::string& text) {
    v1::Order out;
    const auto f = fields(text, ',');
    const auto number = [&](std::size_t i) { return static_cast<std::uint32_t>(std::stoul(f.at(i))); };
    const auto table = [&](std::size_t i) { return f.at(i) == "*" ? 65535U : number(i); };
    const auto classes = [&](std::size_t i, auto* into) {
        if (f.at(i) == "*") return;
        for (const auto& c : fields(f[i], '+')) into->add_classes(c);
    };
    if (f.at(0) == "share") {
        out.mutable_line()->set_table(table(1));
        out.mutable_line()->set_server(f.at(2));
        out.mutable_line()->set_weight(std::stof(f.at(3)));
    } else if (f[0] == "clear") {
        out.mutable_clear()->set_table(table(1));
    } else if (f[0] == "bind") {
        out.mutable_bind()->set_relay(number(1));
        out.mutable_bind()->set_table(table(2));
        classes(3, out.mutable_bind());
    } else if (f[0] == "withdraw" || f[0] == "restore") {
        out.mutable_shut()->set_server(f.at(1));
        out.mutable_shut()->set_out(f[0] == "withdraw");
    } else if (f[0] == "admit") {
        out.mutable_level()->set_table(table(1));
        classes(2, out.mutable_level());
        out.mutable_level()->set_limit(std::stof(f.at(3)));
        out.mutable_level()->set_retry_mode(number(4));
    } else if (f[0] == "mark") {
        out.mutable_mark()->set_number(number(1));
        out.mutable_mark()->set_every_relay(f.at(2) == "1");
    }
    return out;
}

View viewOf(const client::RelayTables& tables, int relay, const std::vector<std::string>& classes) {
    View out;
    for (const std::string& name : classes) {
        const auto* table = tables.tableOf(static_cast<std::uint32_t>(relay), name);
        if (table == nullptr) continue;
        ClassView& mine = out[name];
        mine.lines = table->lines;
        const auto level = table->levels.find(name);
        if (level != table->levels.end()) mine.level = {level->second.limit, level->second.retryMode};
    }
    return out;
}

PlatformParty::PlatformParty(std::vector<std::string> classes, std::uint64_t rev)
    : classes_(std::move(classes)), rev_(rev), tables_(classes_) {
    thread_.run([this] {
        transport::Loop& loop = thread_.loop();
        discoveryListener_ = std::make_unique<transport::Listener>(
            loop, transport::Address{"127.0.0.1", 0},
            [this](int fd) { accept(discoveryClients_, fd, &PlatformParty::discoveryLine); });
        relayListener_ = std::make_unique<transport::Listener>(
            loop, transport::Address{"127.0.0.1", 0},
            [this](int fd) { accept(relayClients_, fd, &PlatformParty::relayLine); });
        quiet_ = std::make_unique<transport::Timer>(loop, [this] { quiet(); });
        quiet();
    });
    discoveryAddress_ = "127.0.0.1:" + std::to_string(discoveryListener_->port());
    relayAddress_ = "127.0.0.1:" + std::to_string(relayListener_->port());
}

PlatformParty::~PlatformParty() {
    thread_.run([this] {
        for (Clients* clients : {&discoveryClients_, &relayClients_}) {
            for (Client& c : *clients) c.connection->close();
        }
        for (auto& [site, c] : collectors_) c.connection->close();
        discoveryClients_.clear();
        relayClients_.clear();
        collectors_.clear();
        discoveryListener_.reset();
        relayListener_.reset();
        quiet_.reset();
    });
}

void PlatformParty::accept(Clients& clients, int fd, void (PlatformParty::*line)(Client&, std::string_view)) {
    const auto client = clients.emplace(clients.end());
    transport::Connection::Handlers handlers;
    handlers.received = [this, client, line](std::string_view bytes) {
        (void)client->reader.feed(bytes, [&](std::string_view text) {
            (this->*line)(*client, text);
            return true;
        });
    };
    handlers.ended = [this, client, &clients](transport::Ended) {
        if (client->watches) watch_.change([&] { --watches_; });
        thread_.loop().bury(std::move(client->connection));
        clients.erase(client);
    };
    client->connection =
        std::make_unique<transport::Connection>(thread_.loop(), fd, kBuffer, std::move(handlers));
}

void PlatformParty::tell(const Clients& clients, const std::string& text) const {
    for (const Client& c : clients) {
        if (c.watches) c.connection->write(text);
    }
}

void PlatformParty::quiet() {
    tell(discoveryClients_, "1\r\n\n\r\n");
    tell(relayClients_, "*\r\n");
    quiet_->after(kQuietEvery);
}

void PlatformParty::awaitPlanner() {
    // The news is watched twice, the list once.
    watch_.until("the planner's watches", [this] { return watches_ >= 3; });
}

// ---- Discovery ----

std::string PlatformParty::chunk(const std::vector<ListChange>& changes) const {
    Json targets = Json::array();
    for (const ListChange& c : changes) {
        targets.push_back({{"uid", c.box},
                           {"endpoint", c.endpoint},
                           {"az", c.site},
                           {"model", "standard"},
                           {"pod_group", 1},
                           {"state", name(c.state)},
                           {"capacity_hint", 1.0},
                           {"boot_ms", c.boot / kMs}});
    }
    const std::string body = Json{{"rev", rev_}, {"all", false}, {"targets", targets}}.dump() + "\n";
    std::ostringstream out;
    out << std::hex << body.size() << "\r\n" << body << "\r\n";
    return out.str();
}

void PlatformParty::discoveryLine(Client& client, std::string_view line) {
    if (!line.starts_with("GET ")) return;
    client.watches = true;
    client.connection->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    watch_.change([&] { ++watches_; });
}

void PlatformParty::list(const std::vector<ListChange>& changes) {
    thread_.run([&] {
        ++rev_;
        tell(discoveryClients_, chunk(changes));
    });
}

// ---- The relay ----

namespace {

std::string helloLine(const RelayHello& hello) {
    std::ostringstream out;
    out << "* hello " << hello.relay << ' ' << hello.site << ' ' << hello.rps
        << (hello.fresh ? " 1\r\n" : " 0\r\n");
    return out.str();
}

}  // namespace

void PlatformParty::relayLine(Client& client, std::string_view line) {
    if (line == "WATCH") {
        client.watches = true;
        client.connection->write("OK\r\n");
        for (const auto& [id, hello] : joined_) client.connection->write(helloLine(hello));
        client.connection->write("*\r\n");
        watch_.change([&] { ++watches_; });
    } else if (line.starts_with("APPLY ")) {
        apply(client, std::string(line.substr(6)));
    } else {
        client.connection->write("SYNTAX\r\n");
    }
}

void PlatformParty::apply(const Client& client, const std::string& text) {
    const auto orders = fields(text, ';');
    v1::Batch batch;
    batch.set_nonce(1);
    for (const std::string& order : orders) *batch.add_orders() = readOrder(order);
    const auto outcome = tables_.apply(batch);
    watch_.change([&] {
        ++calls_;
        orders_ += outcome.taken;
    });
    if (onCall_) onCall_(orders.size(), tables_, outcome);
    if (!onCall_) deliver(outcome);
    client.connection->write("OK " + std::to_string(outcome.taken) + "\r\n");
    if (!onCall_ || !outcome.mark) return;
    for (const std::uint32_t relay : outcome.concerned)
        tellAck({static_cast<int>(relay), *outcome.mark, kMs});
}

void PlatformParty::deliver(const client::RelayTables::Outcome& outcome) {
    watch_.change([&] {
        for (const std::uint32_t relay : outcome.concerned) {
            const auto number = static_cast<int>(relay);
            std::optional<unsigned> mark;
            if (outcome.mark) mark = *outcome.mark;
            delivered_.push_back({number, viewOf(tables_, number, classes_), tables_.shutOut(), mark});
        }
    });
}

void PlatformParty::hello(const RelayHello& hello) {
    thread_.run([&] {
        joined_[hello.relay] = hello;
        tables_.join(static_cast<std::uint32_t>(hello.relay));
        tell(relayClients_, helloLine(hello));
    });
}

void PlatformParty::bye(int relay) {
    thread_.run([&] {
        joined_.erase(relay);
        tables_.leave(static_cast<std::uint32_t>(relay));
        tell(relayClients_, "* bye " + std::to_string(relay) + "\r\n");
    });
}

void PlatformParty::tellAck(const RelayAck& ack) const {
    std::ostringstream line;
    line << "* ack " << ack.relay << ' ' << ack.mark << ' ' << millis(ack.took) << "\r\n";
    tell(relayClients_, line.str());
}

void PlatformParty::ack(const RelayAck& ack) {
    thread_.run([&] { tellAck(ack); });
}

void PlatformParty::setOnCall(OnCall onCall) {
    thread_.run([&] { onCall_ = std::move(onCall); });
}

std::vector<Delivered> PlatformParty::take() {
    return watch_.look([this] { return std::exchange(delivered_, {}); });
}
std::uint64_t PlatformParty::calls() {
    return watch_.look([this] { return calls_; });
}
std::uint64_t PlatformParty::orders() {
    return watch_.look([this] { return orders_; });
}

// ---- Collectors ----

std::string PlatformParty::agent(const std::string& site) {
    return Json{{"type", "agent"}, {"site", site}}.dump();
}

std::string PlatformParty::text(const SumRow& row) {
    Json out{{"type", "outcomes"},      {"site", row.site},   {"target", row.box},
             {"count", row.tries},      {"fail", row.failed}, {"mean", millis(row.mean)},
             {"over", millis(row.over)}};
    if (row.spoilt == 1) out.erase("over");
    if (row.spoilt == 2) out["fail"] = row.tries + 1;
    if (row.spoilt == 3) out["target"] = 17;
    if (row.spoilt == 4) out["mean"] = -1;
    return out.dump();
}

std::string PlatformParty::text(const DemandRow& row) {
    Json out{{"type", "demand"},  {"id", row.relay},    {"lane", row.className},
             {"count", row.came}, {"fail", row.failed}, {"over", millis(row.over)}};
    if (row.spoilt == 1) out.erase("over");
    if (row.spoilt == 2) out["count"] = 1e12;
    if (row.spoilt == 3) out.erase("lane");
    if (row.spoilt == 4) out["id"] = -1;
    return out.dump();
}

void PlatformParty::collect(const std::string& site, const std::string& planner,
                            const std::vector<std::string>& messages) {
    std::string bytes;
    for (const std::string& message : messages) bytes += protocol::frame(message);
    thread_.run([&] {
        Collector& collector = collectors_[site];
        if (!collector.connection) {
            transport::Connection::Handlers handlers;
            handlers.ended = [](transport::Ended) {};
            handlers.received = [](std::string_view) {};
            const auto at = transport::parseAddress(planner);
            collector.connection = std::make_unique<transport::Connection>(
                thread_.loop(), at.value(), transport::Millis{5000}, kBuffer, std::move(handlers));
            collector.connection->write(protocol::frame(agent(site)));
        }
        collector.connection->write(bytes);
    });
}

}  // namespace marldale::standin
