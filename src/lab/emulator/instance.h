// A planner instance: the real module behind the real translator, with its channel to the relays, its list
// and its memory. It knows no calendar: it is told what came, and says what leaves its channel and when.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/planner_link.h"
#include "recovery/coordinator.h"
#include "routing/planner_core.h"

namespace marldale::emulator {

class Instance : public PlannerLink {
public:
    Instance(const Scenario& scenario, const Start& start,
             const std::unordered_map<std::string, BoxNumber>& numbers, const ListedNews& known);

    void hear(const ListedNews& news, Micros now) override;
    void joined(std::uint32_t relay, std::uint32_t zone, double rate, bool fresh) override;
    void left(std::uint32_t relay) override;
    void answered(std::uint32_t relay, std::uint16_t mark, Micros took) override;
    void hear(const std::vector<SumRow>& sums, const std::vector<DemandRow>& demand, Micros over,
              Micros now) override;
    void treat(const std::vector<Listed>& boxes) override;
    void ceiling(std::uint32_t zone, std::uint32_t klass, double share) override;
    void step(Micros now) override;
    [[nodiscard]] std::optional<Micros> nextDue() const override;
    [[nodiscard]] Channel& channel() override { return channel_; }
    [[nodiscard]] std::optional<Turn> takeTurn() override;
    [[nodiscard]] recovery::Handover handOver(Micros now) override { return memory_.handOver(now); }
    void recall(const recovery::Handover& handover, Micros age, Micros now) override;

private:
    [[nodiscard]] Micros mine(Micros now) const { return now + skew_; }
    void ordered(const std::vector<protocol::Order>& orders, const std::vector<ProxyId>& audience);
    [[nodiscard]] protocol::CatalogNews catalog(const ListedNews& news) const;
    void tellMemory(const protocol::CatalogNews& news, Micros now);

    const Scenario& scenario_;
    const protocol::Config config_;
    const Micros skew_;  // of its clock
    recovery::Coordinator memory_;
    std::map<std::string, protocol::CatalogEntry> list_;
    std::uint64_t version_ = 0;
    Book book_;
    std::vector<routing::Input> inputs_;
    std::unique_ptr<routing::PlannerCore> core_;
    Micros now_ = 0;
    Channel channel_;
    std::optional<Turn> turn_;
};

// The platform's configuration for a scenario, as this instance reads it.
[[nodiscard]] protocol::Config configOf(const Scenario& scenario, std::uint32_t number,
                                        std::uint64_t incarnation);

}  // namespace marldale::emulator
