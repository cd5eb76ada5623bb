// What a proxy follows: the tables that are in force, by whose word, and the list of boxes. It obeys and
// judges nothing; stranded from its planners it keeps what it has. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "proxy/picker.h"

namespace marldale::proxy {

struct ClassOrder {
    std::map<std::string, float> lines;  // by the box's uid; all above 0
    float limit = 1e6F;                  // requests a second
    unsigned retryMode = 1;              // see the protocol's LevelOrder
    bool operator==(const ClassOrder&) const = default;
};
// All that one planner has ordered up to one batch, or up to one turn of it.
struct Orders {
    std::map<std::string, ClassOrder> byClass;  // classes without a table are absent
    std::set<std::string> shut;                 // boxes that nobody may send to
};
struct ListedBox {
    std::string endpoint;
    ServerState state = ServerState::ready;
    bool operator==(const ListedBox&) const = default;
};

enum class Standing : std::uint8_t { waiting, steered, stranded };
[[nodiscard]] const char* name(Standing standing);

class Steering {
public:
    Steering(std::vector<std::string> classes, std::uint64_t seed);

    // ---- What comes ----

    // In force at once and as a whole. A class for which there is no table keeps the lines that it had,
    // but for boxes that are shut out now.
    void obey(const Orders& orders, Micros now);
    void planner(bool there, Micros now);
    // Tables of an earlier run, where none have come yet: it counts as stranded with them.
    void recall(const Orders& orders, Micros now);
    // The list: a change, or all of it. It alone says where a box is; nothing is sent to one that it does not
    // call ready.
    void listed(const std::map<std::string, ListedBox>& boxes, bool whole);

    // ---- Requests ----

    [[nodiscard]] bool admits(std::size_t klass, Micros now);
    struct Pick {
        std::string box, endpoint;
    };
    // `not in`: boxes that this request has tried.
    [[nodiscard]] std::optional<Pick> pick(std::size_t klass, const std::vector<std::string>& tried);
    // Whether a request that waits for a connection to it may still go there.
    [[nodiscard]] bool maySendTo(const std::string& box) const;
    [[nodiscard]] unsigned retryMode(std::size_t klass) const;

    [[nodiscard]] Standing standing() const;
    [[nodiscard]] Micros strandedSince() const { return strandedSince_; }  // -1: it is not
    [[nodiscard]] std::size_t lines(std::size_t klass) const;              // that may be picked now
    [[nodiscard]] const std::vector<std::string>& classes() const { return classes_; }
    // For a snapshot: what is in force.
    [[nodiscard]] Orders inForce() const;
    [[nodiscard]] std::uint64_t changes() const { return changes_; }  // of what is in force, since the start

private:
    struct Class {
        ClassOrder order;
        Picker picker;
        Level level;
    };
    std::vector<std::string> classes_;
    std::vector<Class> byClass_;
    std::set<std::string> shut_;
    std::map<std::string, ListedBox> list_;
    bool obeyed_ = false, there_ = false;
    Micros strandedSince_ = -1;
    std::uint64_t changes_ = 0;
};

}  // namespace marldale::proxy
