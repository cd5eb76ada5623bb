#include "grpc/convert.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marldale::grpc_front {
namespace {

constexpr std::size_t kNodeIdMost = 128;
constexpr double kRateMost = 1e9;                // as for the platform's hello
constexpr std::uint64_t kTookMost = 3600000000;  // an answer later than an hour is none

bool fitsTable(std::uint32_t table) { return table <= kAllTables; }

std::vector<std::string> names(ClassMask mask, const std::vector<std::string>& classes) {
    std::vector<std::string> out;
    for (std::size_t k = 0; k < classes.size(); ++k) {
        if ((mask >> k & 1U) != 0) out.push_back(classes[k]);
    }
    return out;
}

template <class Names>
std::optional<ClassMask> mask(const Names& names, const std::vector<std::string>& classes) {
    ClassMask out = 0;
    for (const std::string& name : names) {
        const auto at = std::find(classes.begin(), classes.end(), name);
        if (at == classes.end()) return std::nullopt;
        out = static_cast<ClassMask>(out | 1U << (at - classes.begin()));
    }
    return out;
}

void put(protocol::LoadValues& out, const std::string& name, double value) {
    if (std::isfinite(value) && value >= 0 && value <= protocol::kLoadMost &&
        out.size() < protocol::kLoadValuesMost) {
        out.emplace(name, value);
    }
}

struct Writer {
    const std::vector<std::string>& classes;
    v1::Order& out;
    void operator()(const protocol::LineOrder& o) const {
        auto* line = out.mutable_line();
        line->set_table(o.table);
        line->set_server(o.server);
        line->set_weight(o.weight);
    }
    void operator()(const protocol::ClearOrder& o) const { out.mutable_clear()->set_table(o.table); }
    void operator()(const protocol::BindOrder& o) const {
        auto* bind = out.mutable_bind();
        bind->set_relay(o.proxy);
        bind->set_table(o.table);
        for (auto& name : names(o.classes, classes)) bind->add_classes(std::move(name));
    }
    void operator()(const protocol::ShutOrder& o) const {
        auto* shut = out.mutable_shut();
        shut->set_server(o.server);
        shut->set_out(o.out);
    }
    void operator()(const protocol::LevelOrder& o) const {
        auto* level = out.mutable_level();
        level->set_table(o.table);
        for (auto& name : names(o.classes, classes)) level->add_classes(std::move(name));
        level->set_limit(o.limit);
        level->set_retry_mode(o.retryMode);
    }
    void operator()(const protocol::MarkOrder& o) const {
        auto* mark = out.mutable_mark();
        mark->set_number(o.mark);
        mark->set_every_relay(o.everyProxy);
    }
    void operator()(const dispatch::LayOrder& o) const {
        out.mutable_lay()->set_table(o.table);
        out.mutable_lay()->set_like(o.like);
    }
    void operator()(const dispatch::CheckOrder& o) const {
        out.mutable_check()->set_table(o.table);
        out.mutable_check()->set_hash(o.hash);
    }
};

constexpr std::size_t kStatesMost = 64;  // in a word

}  // namespace

std::optional<protocol::Outcomes> readOutcomes(const v1::Outcomes& row, const std::string& server,
                                               std::string& why) {
    const std::string& named = row.server().empty() ? server : row.server();
    protocol::Outcomes out{row.zone(), named, row.tries(), row.failed(), 0, 0, {}};
    if (row.over_us() <= protocol::kSpanMostUs) out.overUs = static_cast<std::int64_t>(row.over_us());
    if (row.has_mean_us()) {
        out.meanUs = row.mean_us() <= protocol::kSpanMostUs ? static_cast<std::int64_t>(row.mean_us()) : -1;
    } else if (row.failed() < row.tries()) {
        out.meanUs = -1;
    }
    if (named.empty() || row.zone().empty()) {
        why = "outcomes without a server or a zone";
    } else if (!protocol::isSound(out)) {
        why = "outcomes of " + named + " are out of range";
    } else {
        if (row.has_load()) out.load = readLoad(row.load());
        return out;
    }
    return std::nullopt;
}

std::optional<protocol::Demand> readDemand(const v1::Demand& row, std::string& why) {
    protocol::Demand out{0, row.request_class(), row.came(), row.failed(), 0};
    if (row.over_us() <= protocol::kSpanMostUs) out.overUs = static_cast<std::int64_t>(row.over_us());
    if (row.relay() > std::numeric_limits<ProxyId>::max() || row.request_class().empty()) {
        why = "demand without a class, or of an impossible relay";
        return std::nullopt;
    }
    out.proxy = static_cast<ProxyId>(row.relay());
    if (protocol::isSound(out)) return out;
    why = "demand of relay " + std::to_string(row.relay()) + " is out of range";
    return std::nullopt;
}

protocol::LoadValues readLoad(const v1::Load& load) {
    protocol::LoadValues out;
    if (load.has_application_utilization()) {
        put(out, "util", load.application_utilization());
    } else if (load.has_cpu_utilization()) {
        put(out, "util", load.cpu_utilization());
    }
    if (load.has_rps_fractional()) put(out, "qps", load.rps_fractional());
    if (load.has_eps()) put(out, "eps", load.eps());
    if (load.has_mem_utilization()) put(out, "mem", load.mem_utilization());
    for (const auto& [name, value] : load.named_metrics()) put(out, name, value);
    for (const auto& [name, value] : load.utilization()) put(out, name, value);
    return out;
}

std::optional<protocol::Hello> readJoined(const v1::RelayJoined& joined, std::string& why) {
    if (joined.relay() > std::numeric_limits<ProxyId>::max() || joined.zone().empty()) {
        why = "a relay without a zone, or with an impossible number";
        return std::nullopt;
    }
    if (!(joined.rps() >= 0) || joined.rps() > kRateMost) {
        why = "the rate of relay " + std::to_string(joined.relay()) + " is out of range";
        return std::nullopt;
    }
    return protocol::Hello{static_cast<ProxyId>(joined.relay()), joined.zone(), joined.rps(), joined.fresh()};
}

std::optional<protocol::Ack> readAnswer(const v1::RelayAnswer& answer) {
    if (answer.relay() > std::numeric_limits<ProxyId>::max() || answer.mark() > 0xffffU ||
        answer.took_us() > kTookMost)
        return std::nullopt;
    return protocol::Ack{static_cast<ProxyId>(answer.relay()), answer.mark(),
                         static_cast<std::int64_t>(answer.took_us())};
}

v1::PeerWord writeWord(const membership::PeerMessage& message) {
    v1::PeerWord out;
    out.set_kind(static_cast<v1::PeerWord::Kind>(static_cast<int>(message.kind) + 1));
    out.set_from(message.from);
    out.set_to(message.to);
    out.set_number(message.number);
    out.set_about(message.about);
    for (const membership::Gossip& gossip : message.gossip) {
        v1::PeerState& state = *out.add_states();
        state.set_name(gossip.name);
        state.set_incarnation(gossip.incarnation);
        state.set_state(static_cast<v1::PeerState::State>(static_cast<int>(gossip.state) + 1));
        state.set_address(gossip.address);
    }
    return out;
}

std::optional<membership::PeerMessage> readWord(const v1::PeerWord& word) {
    if (word.kind() < v1::PeerWord::PING || word.kind() > v1::PeerWord::LEAVE) return std::nullopt;
    if (!isNodeId(word.from()) || !isNodeId(word.to())) return std::nullopt;
    if (!word.about().empty() && !isNodeId(word.about())) return std::nullopt;
    membership::PeerMessage out{static_cast<membership::PeerMessage::Kind>(word.kind() - 1),
                                word.from(),
                                word.to(),
                                word.number(),
                                word.about(),
                                {}};
    for (const v1::PeerState& state : word.states()) {
        if (out.gossip.size() >= kStatesMost) break;
        if (state.state() < v1::PeerState::ALIVE || state.state() > v1::PeerState::LEFT) continue;
        if (!isNodeId(state.name()) || (!state.address().empty() && !isNodeId(state.address()))) continue;
        out.gossip.push_back({state.name(), state.incarnation(),
                              static_cast<membership::PeerState>(state.state() - 1), state.address()});
    }
    return out;
}

bool isNodeId(const std::string& id) {
    return !id.empty() && id.size() <= kNodeIdMost &&
           std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > ' ' && c <= '~'; });
}

v1::Order writeOrder(const dispatch::LaneOrder& order, const std::vector<std::string>& classes) {
    v1::Order out;
    std::visit(Writer{classes, out}, order);
    return out;
}

void writeBatch(const dispatch::Batch& batch, const std::vector<std::string>& classes, v1::Batch& out) {
    out.set_nonce(batch.nonce);
    out.mutable_orders()->Reserve(static_cast<int>(batch.orders.size()));
    for (const auto& order : batch.orders) std::visit(Writer{classes, *out.add_orders()}, order);
}

std::optional<dispatch::LaneOrder> readOrder(const v1::Order& order,
                                             const std::vector<std::string>& classes) {
    const auto table = [](std::uint32_t t) { return static_cast<TableId>(t); };
    switch (order.order_case()) {
        case v1::Order::kLine:
            if (!fitsTable(order.line().table()) || !(order.line().weight() >= 0)) return std::nullopt;
            return protocol::LineOrder{table(order.line().table()), order.line().server(),
                                       order.line().weight()};
        case v1::Order::kClear:
            if (!fitsTable(order.clear().table())) return std::nullopt;
            return protocol::ClearOrder{table(order.clear().table())};
        case v1::Order::kBind: {
            const auto classMask = mask(order.bind().classes(), classes);
            if (!classMask || !fitsTable(order.bind().table()) || order.bind().relay() > 0xffffU)
                return std::nullopt;
            return protocol::BindOrder{static_cast<ProxyId>(order.bind().relay()),
                                       table(order.bind().table()), *classMask};
        }
        case v1::Order::kShut: return protocol::ShutOrder{order.shut().server(), order.shut().out()};
        case v1::Order::kLevel: {
            const auto classMask = mask(order.level().classes(), classes);
            if (!classMask || !fitsTable(order.level().table()) || !(order.level().limit() >= 0) ||
                order.level().retry_mode() > 3) {
                return std::nullopt;
            }
            return protocol::LevelOrder{table(order.level().table()), *classMask, order.level().limit(),
                                        static_cast<std::uint8_t>(order.level().retry_mode())};
        }
        case v1::Order::kMark:
            if (order.mark().number() > 0xffffU) return std::nullopt;
            return protocol::MarkOrder{static_cast<std::uint16_t>(order.mark().number()),
                                       order.mark().every_relay()};
        case v1::Order::kLay:
            if (!fitsTable(order.lay().table()) || !fitsTable(order.lay().like())) return std::nullopt;
            return dispatch::LayOrder{table(order.lay().table()), table(order.lay().like())};
        case v1::Order::kCheck:
            if (!fitsTable(order.check().table())) return std::nullopt;
            return dispatch::CheckOrder{table(order.check().table()), order.check().hash()};
        case v1::Order::ORDER_NOT_SET: break;
    }
    return std::nullopt;
}

}  // namespace marldale::grpc_front
