// Between the messages of proto/marldale/v1 and the planner's values. Pure functions; every field is checked.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dispatch/lane.h"
#include "marldale/v1/assignments.pb.h"
#include "marldale/v1/peers.pb.h"
#include "marldale/v1/reports.pb.h"
#include "membership/peers.h"
#include "routing/inputs.h"

namespace marldale::grpc_front {

// A row, or nothing and the reason. `server` stands in for a box's own rows, which need not name it.
[[nodiscard]] std::optional<protocol::Outcomes> readOutcomes(const v1::Outcomes& row,
                                                             const std::string& server, std::string& why);
[[nodiscard]] std::optional<protocol::Demand> readDemand(const v1::Demand& row, std::string& why);

// A box's load by the names that the settings give to the values of a load report; what is out of range is
// left out.
[[nodiscard]] protocol::LoadValues readLoad(const v1::Load& load);

[[nodiscard]] std::optional<protocol::Hello> readJoined(const v1::RelayJoined& joined, std::string& why);
[[nodiscard]] std::optional<protocol::Ack> readAnswer(const v1::RelayAnswer& answer);

[[nodiscard]] v1::PeerWord writeWord(const membership::PeerMessage& message);
// Nothing if it is of a later version, or no word at all.
[[nodiscard]] std::optional<membership::PeerMessage> readWord(const v1::PeerWord& word);

// A name that may stand in the log and in memory: 1 to 128 printable bytes.
[[nodiscard]] bool isNodeId(const std::string& id);

[[nodiscard]] v1::Order writeOrder(const dispatch::LaneOrder& order, const std::vector<std::string>& classes);
void writeBatch(const dispatch::Batch& batch, const std::vector<std::string>& classes, v1::Batch& out);
// What it says, for stand-ins and tests; nothing if it is no order of this version, or names an unknown
// class.
[[nodiscard]] std::optional<dispatch::LaneOrder> readOrder(const v1::Order& order,
                                                           const std::vector<std::string>& classes);

}  // namespace marldale::grpc_front
