#include "wire/codec.h"

#include <bit>
#include <cmath>
#include <cstring>

namespace marldale::wire {
namespace {

static_assert(std::endian::native == std::endian::little,
              "the codec copies little-endian fields as they are");

constexpr std::size_t kEventBytes = 48;
constexpr std::size_t kActionBytes = 24;
constexpr std::size_t kEntryBytes = 21;

template <class T>
T load(std::string_view bytes, std::size_t at) {
    if (at > bytes.size() || bytes.size() - at < sizeof(T))
        throw Malformed("a field lies outside its record");
    T out;
    std::memcpy(&out, bytes.data() + at, sizeof(T));
    return out;
}

template <class T>
void store(std::string& out, T value) {
    char bytes[sizeof(T)];
    std::memcpy(bytes, &value, sizeof(T));
    out.append(bytes, sizeof(T));
}

double finite(float value) {
    if (!std::isfinite(value)) throw Malformed("a number that is not finite");
    return value;
}

Micros clockTime(std::uint64_t value) {
    if (value > (std::uint64_t{1} << 62U)) throw Malformed("a time out of range");
    return static_cast<Micros>(value);
}

// A field of offset and length into the tail; for entries the length counts items of `width` bytes.
std::string_view tailField(std::string_view record, std::size_t at, std::string_view tail,
                           std::size_t width) {
    const std::size_t offset = load<std::uint32_t>(record, at);
    const std::size_t bytes = std::size_t{load<std::uint32_t>(record, at + 4)} * width;
    if (offset > tail.size() || bytes > tail.size() - offset) {
        throw Malformed("an offset or length lies outside the tail");
    }
    return tail.substr(offset, bytes);
}

LoadReport loadReport(std::string_view record, std::size_t at) {
    const std::size_t n = load<std::uint8_t>(record, at);
    if (n > 4) throw Malformed("a load report of more than four values");
    LoadReport out;
    for (std::size_t i = 0; i < n; ++i) out.push_back(load<float>(record, at + 1 + 4 * i));
    return out;
}

ListEntry listEntry(std::string_view bytes) {
    ListEntry out;
    out.kind = load<std::uint8_t>(bytes, 0);
    out.cell = load<std::uint16_t>(bytes, 1);
    out.bootTime = clockTime(load<std::uint64_t>(bytes, 3));
    out.server = load<std::uint32_t>(bytes, 11);
    out.zone = load<std::uint8_t>(bytes, 15);
    out.weight = finite(load<float>(bytes, 16));
    const auto state = load<std::uint8_t>(bytes, 20);
    if (state > 2) throw Malformed("an unknown state in a list entry");
    out.state = static_cast<ServerState>(state);
    return out;
}

void readRoster(std::string_view record, std::string_view tail, Rosters& rosters) {
    const std::size_t number = load<std::uint8_t>(record, 2);
    if (number >= kRosters) throw Malformed("a roster number above 15");
    const std::string_view bytes = tailField(record, 3, tail, kEntryBytes);
    Roster roster;
    for (std::size_t at = 0; at < bytes.size(); at += kEntryBytes) {
        roster.push_back(listEntry(bytes.substr(at, kEntryBytes)));
    }
    rosters[number] = std::move(roster);
}

ServerListUpdate listNews(std::string_view r, const Rosters& rosters) {
    ServerListUpdate out;
    out.version = load<std::uint64_t>(r, 6);
    const auto how = load<std::uint8_t>(r, 15);
    if (how > 3) throw Malformed("an unknown kind of registry event");
    out.kind = static_cast<ServerListUpdateKind>(how);
    if (out.kind == ServerListUpdateKind::failed) return out;
    const std::size_t number = load<std::uint8_t>(r, 14);
    if (number >= kRosters || !rosters[number]) throw Malformed("an unknown roster number");
    out.entries = *rosters[number];
    return out;
}

ProbeResult probeResult(std::string_view r) {
    ProbeResult out;
    switch (load<std::uint16_t>(r, 6)) {
        case 0: out.outcome = ProbeOutcome::ok; break;
        case 5: out.outcome = ProbeOutcome::error; break;
        case 11: out.outcome = ProbeOutcome::refused; break;
        case 110: out.outcome = ProbeOutcome::timeout; break;
        case 111: out.outcome = ProbeOutcome::unreachable; break;
        case 104: out.outcome = ProbeOutcome::broken; break;
        default: out.outcome = ProbeOutcome::other; break;
    }
    out.server = load<std::uint32_t>(r, 8);
    out.roundTrip = load<std::uint32_t>(r, 12);
    out.load = loadReport(r, 16);
    return out;
}

ServerStats serverSums(std::string_view r) {
    ServerStats out;
    out.failed = load<std::uint32_t>(r, 6);
    out.server = load<std::uint32_t>(r, 10);
    out.period = load<std::uint32_t>(r, 14);
    out.tries = load<std::uint32_t>(r, 18);
    out.fromZone = load<std::uint8_t>(r, 22);
    out.meanTime = load<std::uint32_t>(r, 23);
    out.load = loadReport(r, 27);
    return out;
}

std::optional<Event> instanceEvent(std::uint16_t code, std::string_view r, const Rosters& rosters) {
    switch (code) {
        case 1010: return listNews(r, rosters);
        case 1020: return TimerDue{load<std::uint64_t>(r, 6)};
        case 1030: return probeResult(r);
        case 1060:
            return ProxyJoined{load<std::uint16_t>(r, 6), load<std::uint8_t>(r, 8), finite(load<float>(r, 9)),
                               load<std::uint8_t>(r, 13) != 0};
        case 1070: return ProxyLeft{load<std::uint16_t>(r, 6)};
        case 1080:
            return Acknowledged{load<std::uint16_t>(r, 6), load<std::uint64_t>(r, 8),
                                load<std::uint32_t>(r, 16)};
        case 1090: return serverSums(r);
        case 1100:
            return ProxyDemand{load<std::uint16_t>(r, 6), load<std::uint16_t>(r, 8),
                               load<std::uint32_t>(r, 10), load<std::uint32_t>(r, 14),
                               load<std::uint32_t>(r, 18)};
        case 1110:
            return SliceDemand{load<std::uint16_t>(r, 20), load<std::uint16_t>(r, 10),
                               load<std::uint32_t>(r, 16), load<std::uint32_t>(r, 12),
                               load<std::uint32_t>(r, 6)};
        case 1120: return SliceAssignment{load<std::uint16_t>(r, 6), load<std::uint8_t>(r, 8) != 0};
        case 1130:
            return SliceLine{load<std::uint16_t>(r, 6), load<std::uint32_t>(r, 12),
                             finite(load<float>(r, 8))};
        default: return std::nullopt;  // an unknown event, or `whisper`, which no module asks for yet
    }
}

}  // namespace

BatchHead readBatchHead(std::string_view bytes) {
    BatchHead out;
    out.number = load<std::uint32_t>(bytes, 0);
    const std::size_t length = load<std::uint32_t>(bytes, 4);
    out.records = load<std::uint32_t>(bytes, 8);
    out.clock = clockTime(load<std::uint64_t>(bytes, 12));
    constexpr std::size_t kCounted = kBatchHeaderBytes - 8;  // the length covers what follows its own field
    if (length < kCounted || length > kFrameMost) throw Malformed("a frame length out of range");
    out.bodyBytes = length - kCounted;
    if (out.bodyBytes / kEventBytes < out.records) throw Malformed("more records than the frame holds");
    return out;
}

std::vector<InstanceEvent> readBatch(const BatchHead& head, std::string_view body, Rosters& rosters) {
    const std::size_t recordBytes = kEventBytes * head.records;
    if (recordBytes > body.size()) throw Malformed("more records than the frame holds");
    const std::string_view tail = body.substr(recordBytes);
    std::vector<InstanceEvent> out;
    for (std::size_t at = 0; at < recordBytes; at += kEventBytes) {
        const std::string_view record = body.substr(at, kEventBytes);
        const auto code = load<std::uint16_t>(record, 0);
        if (code == 1140) {
            readRoster(record, tail, rosters);
            continue;
        }
        const auto instance = load<std::uint32_t>(record, 2);
        if (code == 1000) {
            out.push_back({instance, Create{load<std::uint64_t>(record, 6), tailField(record, 14, tail, 1)}});
        } else if (code == 1050) {
            out.push_back({instance, Down{}});
        } else if (auto event = instanceEvent(code, record, rosters)) {
            out.push_back({instance, std::move(*event)});
        }
    }
    return out;
}

std::string& Reply::startRecord(std::uint16_t code, Instance instance) {
    ++count_;
    store(records_, code);
    store(records_, instance);
    return records_;
}

void Reply::endRecord() { records_.resize(kActionBytes * count_, '\0'); }

void Reply::text(std::string_view what) {
    store(records_, static_cast<std::uint32_t>(tail_.size()));
    store(records_, static_cast<std::uint32_t>(what.size()));
    tail_.append(what);
}

void Reply::add(Instance instance, const Crash& crash) {
    startRecord(1050, instance);
    text(crash.what);
    endRecord();
}

void Reply::add(Instance instance, const Action& action) {
    struct Writer {
        Reply& reply;
        Instance instance;

        void operator()(const SetLine& a) const {
            std::string& r = reply.startRecord(1020, instance);
            store(r, a.server);
            store(r, a.table);
            store(r, a.weight);
        }
        void operator()(const DropLines& a) const { store(reply.startRecord(1040, instance), a.table); }
        void operator()(const Bind& a) const {
            std::string& r = reply.startRecord(1010, instance);
            store(r, a.proxy);
            store(r, a.table);
            store(r, a.classes);
        }
        void operator()(const Withdraw& a) const {
            std::string& r = reply.startRecord(1030, instance);
            store(r, static_cast<std::uint8_t>(a.out));
            store(r, a.server);
        }
        void operator()(const SetLevel& a) const {
            std::string& r = reply.startRecord(1090, instance);
            store(r, a.limit);
            store(r, a.classes);
            store(r, a.table);
            store(r, a.retryMode);
        }
        void operator()(const Mark& a) const {
            std::string& r = reply.startRecord(1120, instance);
            store(r, std::uint64_t{a.mark});
            store(r, static_cast<std::uint8_t>(a.everyProxy));
        }
        void operator()(const ArmTimer& a) const {
            std::string& r = reply.startRecord(1100, instance);
            store(r, static_cast<std::uint32_t>(a.delay));
            store(r, a.tag);
        }
        void operator()(const Probe& a) const { store(reply.startRecord(1080, instance), a.server); }
        void operator()(const Subscribe& a) const {
            store(reply.startRecord(1000, instance), static_cast<std::uint8_t>(a.on));
        }
        void operator()(const FetchList&) const { reply.startRecord(1110, instance); }
        void operator()(const Log& a) const {
            reply.startRecord(1060, instance);
            reply.text(a.text);
        }
    };
    std::visit(Writer{*this, instance}, action);
    endRecord();
}

std::string Reply::frame(std::uint32_t number) const {
    std::string out;
    store(out, number);
    store(out, count_);
    store(out, static_cast<std::uint32_t>(records_.size() + tail_.size()));
    return out + records_ + tail_;
}

}  // namespace marldale::wire
