// What a node holds for its relays: tables, which relay uses which, who is shut out. It takes batches as
// proto/marldale/v1/assignments.proto states them. No I/O, no thread of its own.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marldale/v1/assignments.pb.h"

namespace marldale::client {

class RelayTables {
public:
    struct Level {
        float limit = 0;  // a share or a rate, as the deployment says
        std::uint32_t retryMode = 0;
        bool operator==(const Level&) const = default;
    };
    struct Table {
        std::map<std::string, float> lines;   // weight by server; all above 0
        std::map<std::string, Level> levels;  // by class
        bool operator==(const Table&) const = default;
    };
    // What came of a batch.
    struct Outcome {
        std::uint32_t taken = 0;            // orders, counting from the first
        std::string refusedBecause;         // if not all were
        std::set<std::uint32_t> concerned;  // relays that it concerns
        std::optional<std::uint32_t> mark;  // that they owe an answer to
    };

    // `classes`: all that there are, by name; an order without classes speaks of all of them.
    // `linesMost`: of all tables together; an order that would pass it is refused.
    explicit RelayTables(std::vector<std::string> classes, std::size_t linesMost = 2000000)
        : classes_(std::move(classes)), linesMost_(linesMost) {}

    void welcome(const v1::Welcome& welcome);
    [[nodiscard]] Outcome apply(const v1::Batch& batch);
    // A relay has come (or come again), or has left: it uses none of these tables.
    void join(std::uint32_t relay);
    void leave(std::uint32_t relay);

    // Whether a relay is bound for a class, be it to a table that has been emptied.
    [[nodiscard]] bool isBound(std::uint32_t relay, const std::string& className) const;
    // The table that a relay uses for a class; null if it is not bound for it, or its table is empty.
    [[nodiscard]] const Table* tableOf(std::uint32_t relay, const std::string& className) const;
    // Its lines but for servers that are shut out.
    [[nodiscard]] std::map<std::string, float> linesOf(std::uint32_t relay,
                                                       const std::string& className) const;
    [[nodiscard]] const std::map<std::uint32_t, Table>& tables() const { return tables_; }
    [[nodiscard]] const std::set<std::string>& shutOut() const { return shut_; }

    // To be told in the next hello: the last batch that was taken whole, and by whom it was sent. 0 if
    // anything was refused since, for then these tables are not all that was ordered.
    [[nodiscard]] std::uint64_t epoch() const { return lastTaken_ == 0 ? 0 : epoch_; }
    [[nodiscard]] std::uint64_t lastTaken() const { return lastTaken_; }

private:
    [[nodiscard]] std::string take(const v1::Order& order, Outcome& outcome);
    void concern(std::uint32_t table, Outcome& outcome) const;
    [[nodiscard]] std::uint64_t hashOf(std::uint32_t table) const;
    template <class Change>
    void each(std::uint32_t table, const Change& change);

    std::vector<std::string> classes_;
    std::size_t linesMost_, lines_ = 0;  // of all tables
    std::map<std::uint32_t, Table> tables_;
    std::map<std::uint32_t, std::map<std::string, std::uint32_t>> bound_;  // table by relay and class
    std::set<std::uint32_t> joined_;
    std::set<std::string> shut_;
    std::uint64_t epoch_ = 0, lastTaken_ = 0;
    bool refused_ = false;
};

}  // namespace marldale::client
