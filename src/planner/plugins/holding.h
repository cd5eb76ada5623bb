// Rows that wait for a verdict of the hooks, in the order in which they came, and not for longer than they
// may. A verdict that is late is not used. No I/O; times are values.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "plugins/guard.h"
#include "routing/inputs.h"

namespace marldale::plugins {

struct HoldingSettings {
    Micros within = 20000;         // from a row's coming to its going on
    std::size_t rowsMost = 20000;  // that wait
    std::size_t batchMost = 512;   // rows that hooks are asked about at once
    bool operator==(const HoldingSettings&) const = default;
};

class Holding {
public:
    explicit Holding(HoldingSettings settings) : settings_(settings) {}

    // False: too much waits already.
    [[nodiscard]] bool push(routing::Input input, Micros now);

    struct Batch {
        std::uint64_t id = 0;
        std::vector<Row> rows;
    };
    // The next batch to be asked about, if none is out and something waits.
    [[nodiscard]] std::optional<Batch> cut(Micros now);
    // The verdict on a batch, a row each: what goes on now. Nothing if that batch is not out any more.
    [[nodiscard]] std::vector<routing::Input> take(std::uint64_t id, const std::vector<RowVerdict>& verdicts);
    // Nobody will say anything on what is out, or has been asked: it goes on as it is.
    [[nodiscard]] std::vector<routing::Input> giveUp();
    // What has waited too long goes on as it is.
    [[nodiscard]] std::vector<routing::Input> due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    [[nodiscard]] std::size_t waiting() const { return rows_; }
    [[nodiscard]] std::uint64_t late() const { return late_; }  // rows that went on without a verdict

private:
    struct Item {
        routing::Input input;
        Micros came = 0;
        std::size_t rows = 0;
    };
    [[nodiscard]] std::vector<routing::Input> release(std::size_t items);
    HoldingSettings settings_;
    std::deque<Item> items_;
    std::size_t rows_ = 0, out_ = 0;  // out_: items in front that are out
    std::uint64_t id_ = 0, late_ = 0;
};

// The rows of an input, as hooks and their guard see them.
[[nodiscard]] std::vector<Row> rowsOf(const routing::Input& input);
// It, without the rows that are left out and with the classes that are changed. Nothing if none is left.
[[nodiscard]] std::optional<routing::Input> applied(routing::Input input,
                                                    const std::vector<RowVerdict>& verdicts,
                                                    std::size_t first);

}  // namespace marldale::plugins
