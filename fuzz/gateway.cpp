// Fuzzing of the gateway's readers of bytes (libFuzzer): from operators, servers, peers and the disk.
// FUZZ_NAME picks one; CMakeLists.txt makes a program for each. Each checks that what it reads is passed on
// in the same form, beyond not crashing.
#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "gateway/configuration/configuration_store.h"
#include "gateway/registry/heartbeat.h"
#include "gateway/registry/registry.h"
#include "gateway/settings/settings.h"
#include "marldale/gateway/internal.pb.h"

namespace {

using namespace marldale;  // a program of its own

constexpr std::size_t kStretchedBytes = 1000000;
// One in so many inputs is stretched, because a long one takes a thousand times as long; YAML is the slowest.
constexpr std::uint32_t kStretchOneIn = std::string_view(FUZZ_NAME) == "settings" ? 1024 : 16;

void must(bool holds) {
    if (!holds) std::abort();
}

std::uint32_t hashOf(std::string_view bytes) {
    std::uint32_t hash = 2166136261U;
    for (const char byte : bytes) hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
    return hash;
}

// The input with one of its bytes repeated: nesting, names and lists longer than a fuzzer's inputs are. Where
// there is one, it is the next bracket after `at`.
std::string stretched(std::string_view bytes, std::size_t at) {
    const std::size_t bracket = bytes.find('[', at);
    if (bracket != std::string_view::npos) at = bracket;
    std::string out(bytes.substr(0, at));
    out.append(kStretchedBytes, bytes[at]);
    out += bytes.substr(at);
    return out;
}

// An order that is valid enters the log, a snapshot gives it back, and both replicas judge it alike.
[[maybe_unused]] void configuration(std::string_view bytes) {
    const std::string json(bytes);
    const std::string change = configuration::replaceChange(json);
    const auto read = configuration::parseConfiguration(json);
    configuration::ConfigurationStore store, restored;
    const configuration::Verdict verdict = store.apply(1, change);
    must(read.ok() || verdict == configuration::Verdict::invalid);
    must(restored.restore(store.snapshot()).ok());
    must(restored.json() == store.json());
    must(verdict != configuration::Verdict::taken || store.json() == json);
    must(verdict != configuration::Verdict::taken ||
         restored.judge(change) == configuration::Verdict::already);
}

// A snapshot that is read is written the same again.
[[maybe_unused]] void snapshot(std::string_view bytes) {
    configuration::ConfigurationStore store, again;
    if (!store.restore(std::string(bytes)).ok()) return;
    must(again.restore(store.snapshot()).ok());
    must(again.snapshot() == store.snapshot());
}

// A heartbeat that is accepted can be passed on, to other controllers and as a resource to edge proxies.
[[maybe_unused]] void heartbeat(std::string_view bytes) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    const std::string id(bytes.substr(0, end));
    const auto server = registry::parseHeartbeat(id, bytes.substr(std::min(end + 1, bytes.size())));
    if (!server.ok()) return;
    gateway::proto::ServerUpdates updates, received;
    *updates.add_servers() = *server;
    must(received.ParseFromString(updates.SerializeAsString()));
    gateway::proto::ServerResource resource, told;
    resource.set_id(server->id());
    resource.set_service(server->service());
    resource.set_address(server->address());
    resource.set_zone(server->zone());
    must(told.ParseFromString(resource.SerializeAsString()));
    registry::Registry registry({});
    registry.applyReport(1000000, received.servers(0));
    must(registry.servers().size() == (id.empty() ? 0 : 1));
}

[[maybe_unused]] void settings(std::string_view bytes) {
    const auto read = settings::parse(std::string(bytes));
    must(read.ok() || !read.status().message().empty());
    if (read.ok()) (void)read->insideSeeds();
}

// A frame of a peer, and the hints on the disk that have the form of one of its parts.
[[maybe_unused]] void frame(std::string_view bytes) {
    const google::protobuf::LogSilencer silencer;
    gateway::proto::Frame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
    registry::Registry registry({});
    for (const auto& server : frame.updates().servers()) {
        (void)registry.applyReport(1000000, server);
        registry.restore(1000000, server, 0);
    }
    for (const auto& [id, server] : registry.servers()) must(!id.empty());
    configuration::ConfigurationStore store;
    (void)store.apply(1, std::string(bytes));
}

void play(std::string_view bytes) {
    const std::string_view which = FUZZ_NAME;
    if (which == "configuration") configuration(bytes);
    if (which == "snapshot") snapshot(bytes);
    if (which == "heartbeat") heartbeat(bytes);
    if (which == "settings") settings(bytes);
    if (which == "frame") frame(bytes);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    play(bytes);
    const std::uint32_t hash = hashOf(bytes);
    if (size > 0 && hash % kStretchOneIn == 0) play(stretched(bytes, hash / kStretchOneIn % size));
    return 0;
}
