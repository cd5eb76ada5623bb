// Relays and collectors that speak gRPC, as a planner meets them: some relays with a stream of their own,
// some in groups.
#pragma once

#include <grpcpp/grpcpp.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "marldale/assignments.h"
#include "marldale/load_reports.h"
#include "standin/platform_party.h"
#include "standin/watch.h"
#include "standin/world.h"

namespace marldale::standin {

class GrpcParty {
public:
    // `group`: how many relays share a node, by relay; 1: a stream of its own.
    GrpcParty(std::string address, std::vector<std::string> classes, std::function<int(int relay)> group);
    ~GrpcParty();

    // A relay joins, on its node's stream, which is opened if there is none. How many words the planner hears
    // of it.
    [[nodiscard]] std::size_t hello(const RelayHello& hello);
    // These relays have gone. Where they are all of a node's, its stream breaks. How many words the planner
    // hears of it.
    [[nodiscard]] std::size_t bye(const std::vector<int>& relays);
    void ack(const RelayAck& ack);
    void collect(const std::string& site, const std::vector<SumRow>& sums,
                 const std::vector<DemandRow>& demand);

    [[nodiscard]] std::vector<Delivered> take();
    [[nodiscard]] std::uint64_t batches();
    [[nodiscard]] std::uint64_t orders();  // lines that came down
    [[nodiscard]] std::uint64_t linesKept() { return kept_; }

    [[nodiscard]] static v1::Outcomes row(const SumRow& row);
    [[nodiscard]] static v1::Demand row(const DemandRow& row);

private:
    struct Node {
        std::unique_ptr<client::Assignments> stream;
        std::set<int> joined;
        bool open = false, ending = false;  // behind the watch
    };
    [[nodiscard]] int nodeOf(int relay) const;
    Node& node(int number);
    void applied(const Node& node, const v1::Batch& batch, const client::RelayTables::Outcome& outcome);

    const std::string address_;
    const std::vector<std::string> classes_;
    const std::function<int(int)> group_;
    Watch watch_;
    std::vector<Delivered> delivered_;
    std::uint64_t batches_ = 0, orders_ = 0, kept_ = 0;
    std::map<int, Node> nodes_;
    std::map<std::string, std::unique_ptr<client::LoadReports>> collectors_;
};

}  // namespace marldale::standin
