#include "gateway/figures.h"

#include <algorithm>
#include <stdexcept>

#include "gateway/controller/proxy_shares.h"

namespace marldale::capacity {
namespace {

// As they stand in the code of today (src/gateway).
constexpr double kWordsPerS = 1 / 0.3, kSweepsPerS = 2, kSumsPerS = 1, kNewsPerBeat = 1;
constexpr double kNamedInWord = 12, kSnapshotEvery = 64;
constexpr double kFrameMost = 8 << 20, kCallMost = 6 << 20, kLogMost = 160 << 20, kRegistryMost = 20000;
// Assumed: a server that is replaced empties, goes, and comes back.
constexpr double kChangesARestart = 3;
// A server as on the small sites.
constexpr unsigned kPlaces = 4, kConnections = 96, kColdMargin = 5;
constexpr double kColdPerS = 19, kColdExcess = 1.5;
// Of the measurements' own sizes (packages.cpp, live_controller.cpp).
constexpr double kProxiesOfSweeps = 8, kServicesOfModules = 10, kProxiesOfModules = 24;
constexpr double kThread = 1e6;  // microseconds a second: a controller decides on one thread

using controller::ProxyShare;
using controller::proxyShareOf;

class Slopes {
public:
    explicit Slopes(const std::vector<Slope>& slopes) : slopes_(slopes) {}
    [[nodiscard]] const Fit& line(const char* name) const { return of(name).line; }
    [[nodiscard]] double each(const char* name) const { return std::max(0.0, line(name).slope); }
    [[nodiscard]] double last(const char* name) const { return of(name).points.back().cost; }

private:
    [[nodiscard]] const Slope& of(const char* name) const {
        for (const Slope& slope : slopes_) {
            if (slope.name == name) return slope;
        }
        throw std::out_of_range(std::string("not measured: ") + name);
    }
    const std::vector<Slope>& slopes_;
};

class Figures {
public:
    double add(const char* role, const char* mechanism, const char* what, double value, const char* unit,
               double limit = 0) {
        out.push_back({role, mechanism, what, value, unit, limit});
        return value;
    }
    std::vector<Figure> out;
};

void edgeProxyRole(Figures& f, const Slopes& s, const OperatorsSize& z) {
    const char* role = "proxy";
    double memory = 0;
    memory +=
        f.add(role, "routes held", "memory", z.routes * s.each("proxy: memory of routes"), "B", z.memory);
    memory += f.add(role, "server lines held", "memory", z.servers * s.each("proxy: memory of server lines"),
                    "B", z.memory);
    memory += f.add(role, "weights, candidates", "memory",
                    z.servers * s.each("proxy: memory of weights and candidates"), "B", z.memory);
    memory += f.add(role, "services, budgets", "memory",
                    z.services * s.each("proxy: memory of services and budgets"), "B", z.memory);
    f.add(role, "all tables", "memory", memory, "B", z.memory);

    const double copy = z.routes * s.each("wire: bytes of route lines") +
                        z.servers * s.each("wire: bytes of server lines") +
                        z.servers * s.each("wire: bytes of weight lines and binds") +
                        z.services * s.each("wire: bytes of service and budget lines");
    f.add(role, "a fresh copy", "bytes", copy, "B");
    f.add(role, "a fresh copy", "largest frame (routes and servers)",
          z.routes * s.each("wire: bytes of route lines") + z.servers * s.each("wire: bytes of server lines"),
          "B", kFrameMost);
    f.add(role, "a fresh copy", "processor time, in one piece",
          z.routes * s.each("proxy: processor time to take routes") +
              z.servers * s.each("proxy: processor time to take server lines") +
              z.servers * s.each("proxy: processor time to take weights and make candidates"),
          "us", z.addedP99Us);

    const double changes = z.changesADay / 86400, restarts = z.restartsADay / 86400 * kChangesARestart;
    double bytes = 0;
    bytes += f.add(role, "words", "bytes a second",
                   kWordsPerS * s.line("wire: bytes of a word").at(kNamedInWord), "B/s", z.bytesPerS);
    bytes += f.add(role, "changes of the configuration", "bytes a second",
                   changes * s.each("live: bytes of one route's change by proxies"), "B/s", z.bytesPerS);
    bytes += f.add(role, "changes of servers", "bytes a second",
                   restarts * s.each("live: bytes of one server's change by proxies"), "B/s", z.bytesPerS);
    bytes += f.add(role, "shuffles of views", "bytes a second, sent", s.each("views: bytes a second of all"),
                   "B/s", z.bytesPerS);
    const double asked = z.requestsPerS / z.proxies;
    bytes += f.add(role, "sums", "bytes a second, each request at another server",
                   kSumsPerS * asked * s.each("wire: bytes of sums"), "B/s", z.bytesPerS);
    f.add(role, "all control", "bytes a second", bytes, "B/s", z.bytesPerS);

    double time = 0;
    time += f.add(role, "sums", "processor time a second",
                  kSumsPerS * z.servers * s.each("proxy: one making of sums, nothing asked"), "us/s",
                  1e6 * z.coreShare);
    time += f.add(role, "shuffles of views", "processor time a second",
                  s.each("views: a second of shuffles of all"), "us/s", 1e6 * z.coreShare);
    f.add(role, "sums and shuffles", "processor time a second", time, "us/s", 1e6 * z.coreShare);

    f.add(role, "a request", "requests a second", asked, "/s");
    f.add(role, "a request", "route found", s.last("proxy: finding a route"), "ns");
    f.add(role, "a request", "a pick of 18 servers", s.line("proxy: one pick").at(z.servers / z.services),
          "ns");
    f.add(role, "a request", "processor time a second, the kernel's included (largest size run)",
          asked * s.last("live: processor time of a request by routes"), "us/s");
    f.add(role, "a request", "added at p99, an idle proxy on loopback (largest size run)",
          s.last("live: time added at p99, an idle proxy, by routes"), "us", z.addedP99Us);
}

void controllerRole(Figures& f, const Slopes& s, const OperatorsSize& z) {
    const char* role = "controller";
    const double proxies = z.proxies / z.coreMachines;
    const double lines = z.routes + z.servers + 2 * z.services;
    const double changes = z.changesADay / 86400, restarts = z.restartsADay / 86400 * kChangesARestart;
    double time = 0, memory = 0;
    f.add(role, "proxies bound", "streams", proxies, "");

    // Configurations.
    f.add(role, "a change of the configuration", "rate", changes, "/s");
    f.add(role, "a change of the configuration", "its text", z.routes * s.each("log: bytes of a change"), "B",
          kCallMost);
    f.add(role, "raft", "bytes of 64 changes between snapshots",
          kSnapshotEvery * z.routes * s.each("log: bytes of a change"), "B", kLogMost);
    f.add(role, "raft", "bytes a second to each voter", changes * z.routes * s.each("log: bytes of a change"),
          "B/s");
    time += f.add(role, "raft", "processor time a second: whole texts committed",
                  changes * z.routes * s.each("log: bytes of a change") *
                      s.each("raft: one change committed, by its bytes"),
                  "us/s", kThread);
    f.add(role, "raft", "processor time a second, were a change 1 kB",
          changes * s.each("raft: changes of 1 kB committed, processor time"), "us/s", kThread);
    f.add(role, "raft", "messages for one change, 7 voters",
          s.line("raft: messages of all members for one change").at(7), "");
    f.add(role, "raft", "messages a second with no change, 21 voters",
          s.line("raft: messages a second with no change").at(z.coreMachines), "/s");
    memory += f.add(role, "configuration held", "memory",
                    z.routes * s.each("controller: memory of a configuration"), "B");

    // Each change looks at every line of every proxy; what is known of a line and a proxy is its hash.
    const double look = s.each("live: one server's change by routes") / kProxiesOfSweeps;
    const double whole =
        std::max(0.0, s.each("live: one route's change by routes") - kProxiesOfSweeps * look);
    const double wholeServers =
        std::max(0.0, s.each("live: one route's change by servers") - kProxiesOfSweeps * look);
    const double one = whole * z.routes + wholeServers * z.servers + look * lines * proxies;
    f.add(role, "distribution", "processor time of one route's change, all in one", one, "us",
          z.inForceS * 1e6);
    time += f.add(role, "distribution", "processor time a second: changes of the configuration",
                  changes * one, "us/s", kThread);
    const double server =
        std::max(0.0, s.each("live: one server's change by servers") - kProxiesOfSweeps * look) * z.servers +
        look * lines * proxies;
    f.add(role, "distribution", "processor time of one server's change", server, "us");
    time += f.add(role, "distribution", "processor time a second: servers replaced", restarts * server,
                  "us/s", kThread);
    time += f.add(role, "distribution", "processor time a second: sweeps of all hashes",
                  s.each("live: a second without change by routes") / kProxiesOfSweeps * lines * proxies,
                  "us/s", kThread);
    memory +=
        f.add(role, "distribution", "memory: hashes by line and proxy, and copies on their way",
              s.each("live: memory of first copies by routes") / kProxiesOfSweeps * lines * proxies, "B");
    f.add(role, "distribution", "processor time of a proxy that comes, among eight at once",
          s.each("live: first copies by routes") / kProxiesOfSweeps * lines, "us");

    // Servers.
    const double beats = z.servers / z.beatEveryS / z.coreMachines, mesh = z.coreMachines - 1;
    f.add(role, "beats", "taken by HTTP, a second", beats, "/s");
    time += f.add(role, "beats", "processor time a second: taken by HTTP",
                  beats * s.each("controller: beats by HTTP on kept connections"), "us/s", kThread);
    f.add(role, "beats passed on", "a second, from the others", kNewsPerBeat * beats * mesh, "/s");
    time += f.add(role, "beats passed on", "processor time a second: read and taken in",
                  kNewsPerBeat * beats * mesh * s.each("controller: news of each read and taken in"), "us/s",
                  kThread);
    f.add(role, "beats passed on", "bytes a second, out",
          kNewsPerBeat * beats * mesh * s.each("wire: bytes of news"), "B/s");
    f.add(role, "registry", "servers", z.servers, "", kRegistryMost);
    memory +=
        f.add(role, "registry", "memory", z.servers * s.each("controller: memory of the registry"), "B");
    time += f.add(role, "registry", "processor time a second: looks for silent ones",
                  kSweepsPerS * z.servers * s.each("controller: a look at who is silent"), "us/s", kThread);

    // Decision modules: a part by services, a part by services and proxies.
    const auto both = [&](const char* byServices, const char* byProxies) {
        const double shared = s.each(byProxies) / kServicesOfModules;
        return z.services *
               (std::max(0.0, s.each(byServices) - kProxiesOfModules * shared) + shared * proxies);
    };
    memory += f.add(
        role, "decision modules", "memory",
        both("modules: memory by services (24 proxies)", "modules: memory by proxies (10 services)"), "B");
    time += f.add(role, "decision modules", "processor time a second: quiet turns",
                  both("modules: a quiet turn by services (24 proxies)",
                       "modules: a quiet turn by proxies (10 services)"),
                  "us/s", kThread);
    const double sums = proxies * z.requestsPerS / z.proxies;
    f.add(role, "sums", "servers' sums a second", kSumsPerS * sums, "/s");
    time += f.add(role, "sums", "processor time a second: finding their modules",
                  kSumsPerS * sums * s.line("modules: finding one server of the sums").at(z.services), "us/s",
                  kThread);

    const ProxyShare parts = proxyShareOf(
        {static_cast<std::size_t>(z.proxies), kPlaces, kConnections, kColdPerS, kColdExcess, kColdMargin});
    f.add(role, "parts of a sum", "connections of all proxies to one server", z.proxies * parts.connections,
          "", kConnections);
    f.add(role, "parts of a sum", "requests under way of all proxies at one server",
          z.proxies * parts.inFlight, "", 4 * kPlaces);
    f.add(role, "parts of a sum", "requests a second of all proxies to a cold server (it bears 33)",
          z.proxies * parts.cold, "/s");

    f.add(role, "words", "bytes a second, to its proxies",
          proxies * kWordsPerS * s.line("wire: bytes of a word").at(kNamedInWord), "B/s");
    f.add(role, "mesh", "links between controller", z.coreMachines * mesh, "");
    f.add(role, "all", "processor time a second", time, "us/s", kThread);
    f.add(role, "all", "memory", memory, "B");
}

}  // namespace

std::vector<Figure> figuresOf(const std::vector<Slope>& slopes, const OperatorsSize& size) {
    Figures out;
    const Slopes of(slopes);
    edgeProxyRole(out, of, size);
    controllerRole(out, of, size);
    return std::move(out.out);
}

}  // namespace marldale::capacity
