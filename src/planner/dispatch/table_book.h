// What the module has ordered, with a version for each line: the one state from which every lane is told what
// differs from what it holds. No I/O, no time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/order.h"

namespace marldale::dispatch {

// Grows with every order; a table, line or bind that changed after a version has a greater one.
using Version = std::uint64_t;

struct Line {
    float weight = 0;  // 0: removed, and remembered so that lanes which still hold it are told
    Version at = 0;
};
struct Level {
    float limit = 0;
    std::uint8_t retryMode = 0;
    Version at = 0;
};
struct Table {
    Version born = 0;     // numbers are used again: a table with another birth is another table
    Version changed = 0;  // the last of its lines and levels
    Version pruned = 0;   // removed lines up to this version are forgotten: who holds less must be laid anew
    std::map<std::string, Line> lines;
    std::map<std::size_t, Level> levels;  // by class
    std::uint64_t hash = 0;               // of what it says now
    std::size_t removed = 0;              // of its lines

    [[nodiscard]] bool holds(const std::string& server) const {
        const auto at = lines.find(server);
        return at != lines.end() && at->second.weight > 0;
    }
    // Orders that lay it from nothing.
    [[nodiscard]] std::size_t size() const { return lines.size() - removed + levels.size(); }
};

struct Bound {
    TableId table = 0;
    Version at = 0;
};
struct Shut {
    bool out = false;
    Version at = 0;
};

class TableBook {
public:
    static constexpr std::size_t kRemovedMost = 64;  // remembered lines of one table that are removed
    static constexpr std::size_t kGhosts = 64;  // cleared tables that are remembered, to lay others like them
    static constexpr std::size_t kShutsMost = 512;  // servers that are shut out, or were and were let back

    explicit TableBook(std::vector<std::string> classes) : classes_(std::move(classes)) {}

    // As they take effect, in order. A mark changes nothing.
    void apply(const protocol::Order& order);
    // The proxy holds none of our tables: it has left, or it has just joined.
    void forget(ProxyId proxy) { binds_.erase(proxy); }

    [[nodiscard]] Version version() const { return version_; }
    [[nodiscard]] const Table* find(TableId table) const;
    // A table as it was last, also after it was cleared; null if that is forgotten or the number was used
    // again.
    [[nodiscard]] const Table* find(TableId table, Version born) const;
    [[nodiscard]] const std::map<TableId, Table>& tables() const { return tables_; }
    // By class mask.
    [[nodiscard]] const std::map<ClassMask, Bound>& binds(ProxyId proxy) const;
    [[nodiscard]] const std::map<std::string, Shut>& shuts() const { return shuts_; }
    [[nodiscard]] const std::vector<std::string>& classes() const { return classes_; }
    [[nodiscard]] std::size_t ghosts() const { return ghosts_.size(); }

private:
    void set(const protocol::LineOrder& order);
    void set(const protocol::ClearOrder& order);
    void set(const protocol::BindOrder& order);
    void set(const protocol::ShutOrder& order);
    void set(const protocol::LevelOrder& order);
    void set(const protocol::MarkOrder& order) const;
    // Calls `change` for the table, made if there is none, or for all there are.
    template <class Change>
    void each(TableId table, const Change& change);
    void prune(Table& table) const;

    std::vector<std::string> classes_;
    Version version_ = 0;
    std::map<TableId, Table> tables_;
    std::deque<std::pair<TableId, Table>> ghosts_;  // the oldest first
    std::map<ProxyId, std::map<ClassMask, Bound>> binds_;
    std::map<std::string, Shut> shuts_;
};

}  // namespace marldale::dispatch
