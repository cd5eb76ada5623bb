// A planner that is driven through a world's script in the script's own time: the core, and every front's
// real sockets on loopback, but for the clock. Each moment's words go out through the fronts; when the core
// has them all it takes its turn; when all orders have arrived the next moment comes.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "grpc/server.h"
#include "routing/catalog_watch.h"
#include "routing/intake.h"
#include "routing/planner_core.h"
#include "routing/proxy_news.h"
#include "routing/relay_calls.h"
#include "standin/grpc_party.h"
#include "standin/loop_thread.h"
#include "standin/platform_party.h"
#include "standin/world.h"

namespace marldale::bench {

// Over which protocol relays and collectors speak.
enum class Way {
    plain,     // the platform's, and no other front is on: the planner as it is deployed
    platform,  // the platform's, with the gRPC front on
    streams,   // gRPC
    mixed,     // half of the relays each; one site's collector over each, and the third's over both at once
};
[[nodiscard]] const char* name(Way way);

// A configuration for a world, as JSON: every setting that the module needs, and the list as it is at the
// start.
struct ConfigAsk {
    std::string relay, discovery, listen = "127.0.0.1:0";
    int messagesMost = 12;  // a relay's within 10 s; 0: no limit
    int spareRelays = 0;    // numbers beside the world's
};
[[nodiscard]] std::string configText(const standin::World& world, const ConfigAsk& ask);

class ScriptedPlanner {
public:
    ScriptedPlanner(Way way, standin::World& world);
    ~ScriptedPlanner();

    // Plays the script on; throws std::runtime_error if something that must come does not.
    void play(standin::Micros until, standin::Micros step);

    [[nodiscard]] std::uint64_t turns() const { return turns_; }
    [[nodiscard]] std::uint64_t ordersOnThePlatform() { return platform_.orders(); }
    [[nodiscard]] std::uint64_t ordersOnStreams() { return grpc_ ? grpc_->orders() : 0; }
    [[nodiscard]] std::uint64_t notHeld() const;  // rows of reports that another source held

private:
    [[nodiscard]] bool onStream(int relay) const;
    enum class Collector { platform, grpc, both };
    [[nodiscard]] Collector collectorOf(const std::string& site) const;

    void moment(standin::Micros now);
    void say(const std::vector<standin::Word>& words);
    void sayReports(const std::vector<standin::SumRow>& sums, const std::vector<standin::DemandRow>& demand);
    void awaitInputs(std::size_t count, const char* what);
    void awaitOrders(standin::Micros now);
    [[nodiscard]] bool push(routing::Input input);
    [[nodiscard]] static std::size_t countOf(const routing::Input& input);

    const Way way_;
    standin::World& world_;
    standin::PlatformParty platform_;
    standin::Watch watch_;
    std::vector<routing::Input> inputs_;  // behind the watch, as is what follows
    std::size_t counted_ = 0;
    bool callOut_ = false;
    std::size_t batchesOut_ = 0;

    protocol::Config config_;
    std::unique_ptr<routing::PlannerCore> core_;
    std::unique_ptr<grpc_front::Server> server_;
    std::unique_ptr<standin::GrpcParty> grpc_;
    standin::LoopThread thread_;
    // Of the loop's thread.
    std::unique_ptr<routing::RelayCalls> calls_;
    std::unique_ptr<routing::ProxyNews> news_;
    std::unique_ptr<routing::CatalogWatch> catalog_;
    std::unique_ptr<routing::Intake> intake_;
    std::string intakeAddress_;
    std::uint64_t turns_ = 0;
    standin::Micros now_ = 0;
    std::size_t expected_ = 0;  // inputs of this moment
    bool called_ = false;       // the platform, in this moment
};

}  // namespace marldale::bench
