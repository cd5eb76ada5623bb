// The daemon as a planner of the emulator: a process of its own, told over loopback sockets what the model's
// parties would tell it, in real time. What it orders goes to the model's relays.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/emulation.h"
#include "standin/grpc_party.h"
#include "standin/planner_process.h"
#include "standin/platform_party.h"

namespace marldale::standin {

enum class LiveFront { platform, grpc };

// Virtual time that passes as the machine's does, and how far a run fell behind it.
class RealTime {
public:
    // The first call is the run's start.
    void wait(Micros at);
    [[nodiscard]] Micros worstLag() const { return worst_; }
    // The machine's clock at virtual time 0, in microseconds since 1970.
    [[nodiscard]] Micros base() const { return base_; }

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    Micros base_ = std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    Micros worst_ = 0;
    bool begun_ = false;
};

struct LiveAddresses {
    std::string listen, discovery, relay;
};
// The platform's configuration of a scenario's planner, as JSON; `base`: see RealTime.
[[nodiscard]] std::string liveConfig(const emulator::Scenario& scenario, const emulator::Start& start,
                                     const emulator::ListedNews& known, const LiveAddresses& at, Micros base);

class LivePlanner final : public emulator::PlannerLink {
public:
    // Starts the process and waits until it serves; throws std::runtime_error if it does not.
    LivePlanner(LiveFront front, const emulator::Scenario& scenario, const emulator::Start& start,
                const emulator::Outside::Numbers& numbers, const emulator::ListedNews& known, Micros base);

    void hear(const emulator::ListedNews& news, Micros now) override;
    void joined(std::uint32_t relay, std::uint32_t zone, double rate, bool fresh) override;
    void left(std::uint32_t relay) override;
    void answered(std::uint32_t relay, std::uint16_t mark, Micros took) override;
    // Load figures of boxes are not told: the platform's rows of sums have none here.
    void hear(const std::vector<emulator::SumRow>& sums, const std::vector<emulator::DemandRow>& demand,
              Micros over, Micros now) override;
    void step(Micros now) override;
    [[nodiscard]] std::optional<Micros> nextDue() const override { return now_ + kLookEvery; }
    [[nodiscard]] emulator::Channel& channel() override { return channel_; }
    [[nodiscard]] std::optional<Turn> takeTurn() override;
    // What it knows is its own: throws std::runtime_error.
    [[nodiscard]] recovery::Handover handOver(Micros now) override;
    void recall(const recovery::Handover& handover, Micros age, Micros now) override;

    [[nodiscard]] const PlannerProcess& process() const { return *process_; }

private:
    static constexpr Micros kLookEvery = 20 * kMs;
    [[nodiscard]] emulator::Message message(const Delivered& delivered);
    [[nodiscard]] std::shared_ptr<const emulator::Content> content(const ClassView& view,
                                                                   std::size_t klass) const;
    [[nodiscard]] SumRow row(const emulator::SumRow& s, Micros over) const;
    [[nodiscard]] DemandRow row(const emulator::DemandRow& d, Micros over) const;

    const LiveFront front_;
    const emulator::Scenario& scenario_;
    const emulator::Outside::Numbers& numbers_;
    const Micros base_;
    std::vector<std::string> classes_;
    std::string listen_;
    std::map<std::uint32_t, std::string> siteOf_;  // of relays that have joined
    std::map<std::uint32_t, View> last_;
    std::size_t events_ = 0;
    Micros now_ = 0;
    emulator::Channel channel_;
    std::optional<Turn> turn_;
    std::unique_ptr<PlatformParty> platform_;
    std::unique_ptr<PlannerProcess> process_;  // gone before the platform
    std::unique_ptr<GrpcParty> grpc_;          // gone before the process
};

// Parties for a run over sockets; `time` outlives the run.
[[nodiscard]] emulator::Outside overSockets(LiveFront front, RealTime& time);

}  // namespace marldale::standin
