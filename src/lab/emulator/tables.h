// What a planner has ordered, and what of it a relay holds: contents of tables are values that never change
// once made, so a message to a relay is a handful of pointers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/random.h"
#include "protocol/order.h"

namespace marldale::emulator {

using BoxNumber = std::uint32_t;

struct Level {
    float limit = 1e6F;  // a rate a second, or a share: as the site's admission says
    std::uint8_t retryMode = 1;
    bool operator==(const Level&) const = default;
};

// A table as it stands after one turn.
struct Content {
    std::vector<BoxNumber> boxes;  // in order
    std::vector<float> weights;
    std::vector<double> sums;   // of the weights up to each
    std::vector<Level> levels;  // by class
};
using Shut = std::set<BoxNumber>;

// What a relay holds.
struct View {
    std::vector<std::shared_ptr<const Content>> byClass;
    std::shared_ptr<const Shut> shut;
};

// One message to a relay: what it holds once it has applied it.
struct Message {
    std::uint32_t relay = 0;
    View view;
    std::uint32_t lines = 0;
    std::optional<std::uint16_t> mark;
};

// The tables of one planner, on the planner's side.
class Book {
public:
    Book(std::size_t classes, double envelope, const std::unordered_map<std::string, BoxNumber>& numbers)
        : classes_(classes), envelope_(envelope), numbers_(numbers), shut_(std::make_shared<const Shut>()) {}

    void joined(std::uint32_t relay);
    void left(std::uint32_t relay) { uses_.erase(relay); }
    // One turn's orders: a message for each proxy concerned.
    [[nodiscard]] std::vector<Message> apply(const std::vector<protocol::Order>& orders,
                                             const std::vector<ProxyId>& audience);

private:
    struct Draft {  // of a table that this turn changes
        std::map<BoxNumber, float> lines;
        std::vector<Level> levels;
        std::uint32_t changes = 0;
    };
    Draft& draft(TableId table);
    void settle();
    [[nodiscard]] std::shared_ptr<const Content> content(TableId table) const;

    const std::size_t classes_;
    const double envelope_;
    const std::unordered_map<std::string, BoxNumber>& numbers_;
    std::map<TableId, std::shared_ptr<const Content>> tables_;
    std::map<TableId, Draft> drafts_;
    std::shared_ptr<const Shut> shut_;
    std::map<std::uint32_t, std::vector<TableId>> uses_;  // by relay and class
};

}  // namespace marldale::emulator
