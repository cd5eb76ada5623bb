#include "dispatch/lane.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "protocol/order.h"

namespace marldale::dispatch {
namespace {

constexpr std::size_t kMarksMost = 64;    // turns that one batch may speak for
constexpr std::size_t kCoveredMost = 64;  // batches of several turns whose answers may still come
constexpr std::size_t kClearsMost = 16;   // tables nobody uses; more of them are worth a batch of their own
constexpr std::size_t kLikeMost = 8;      // tables that a new one is compared with

// About what an order takes on the wire; its server's name is all that varies much.
std::size_t bytesOf(const LaneOrder& order) {
    constexpr std::size_t kRest = 24;
    if (const auto* line = std::get_if<protocol::LineOrder>(&order)) return kRest + line->server.size();
    if (const auto* shut = std::get_if<protocol::ShutOrder>(&order)) return kRest + shut->server.size();
    return 2 * kRest;
}

}  // namespace

// The orders that bring a lane from what it holds to what the book says.
class Lane::Difference {
public:
    Difference(const Lane& lane, const TableBook& book) : lane_(lane), book_(book) {
        out_.held = lane.held_;
        out_.told = lane.proxies_;
        out_.shutsUpTo = lane.shutsUpTo_;
        for (const auto& [proxy, told] : lane.proxies_) {
            const auto& binds = book.binds(proxy);
            if (binds.empty()) unbound_.push_back(proxy);
            for (const auto& [mask, bound] : binds) needed_[bound.table].push_back(proxy);
        }
    }

    // False if there is nothing that concerns a proxy of the lane.
    bool make() {
        std::vector<LaneOrder> shuts = shutOrders();
        for (const auto& [id, users] : needed_) {
            const std::size_t before = orders_.size();
            table(id);
            if (orders_.size() > before) concerned_.insert(users.begin(), users.end());
        }
        binds();
        const std::vector<LaneOrder> clears = clearOrders();
        if (concerned_.empty() && clears.size() <= kClearsMost) return false;
        orders_.insert(orders_.begin(), shuts.begin(), shuts.end());
        out_.shutsUpTo = book_.version();
        for (const LaneOrder& clear : clears) {
            orders_.push_back(clear);
            out_.held.erase(std::get<protocol::ClearOrder>(clear).table);
        }
        return true;
    }
    std::vector<LaneOrder> orders_;
    std::set<ProxyId> concerned_;
    Out out_;
    std::size_t linesSaved_ = 0;

private:
    // Those that a proxy must hear of now; others go along with the next batch.
    std::vector<LaneOrder> shutOrders() {
        std::vector<LaneOrder> out;
        for (const auto& [server, shut] : book_.shuts()) {
            if (shut.at <= lane_.shutsUpTo_) continue;
            out.emplace_back(protocol::ShutOrder{server, shut.out});
            concerned_.insert(unbound_.begin(), unbound_.end());
            for (const auto& [id, users] : needed_) {
                const Table* t = book_.find(id);
                if (t != nullptr && mayHold(*t, id, server)) concerned_.insert(users.begin(), users.end());
            }
        }
        return out;
    }
    // It holds the line, or held it up to a change that this lane has not been told.
    [[nodiscard]] bool mayHold(const Table& t, TableId id, const std::string& server) const {
        if (t.holds(server)) return true;
        const auto held = lane_.held_.find(id);
        const auto line = t.lines.find(server);
        return held != lane_.held_.end() && line != t.lines.end() && line->second.at > held->second.upTo;
    }
    void table(TableId id) {
        const Table* t = book_.find(id);
        if (t == nullptr) return;  // bound to a table that has no lines
        const auto held = lane_.held_.find(id);
        const bool known =
            held != lane_.held_.end() && held->second.born == t->born && held->second.upTo >= t->pruned;
        if (!known) {
            if (held != lane_.held_.end()) orders_.emplace_back(protocol::ClearOrder{id});
            lay(id, *t);
        } else if (t->changed > held->second.upTo) {
            changes(id, *t, held->second.upTo);
        }
        out_.held[id] = {t->born, book_.version()};
    }
    void changes(TableId id, const Table& t, Version after) {
        for (const auto& [server, line] : t.lines) {
            if (line.at > after) orders_.emplace_back(protocol::LineOrder{id, server, line.weight});
        }
        for (const auto& [k, level] : t.levels) {
            if (level.at > after) levelOrder(id, k, level);
        }
    }
    void levelOrder(TableId id, std::size_t k, const Level& level) {
        orders_.emplace_back(
            protocol::LevelOrder{id, static_cast<ClassMask>(1U << k), level.limit, level.retryMode});
    }
    void whole(TableId id, const Table& t) {
        for (const auto& [server, line] : t.lines) {
            if (line.weight > 0) orders_.emplace_back(protocol::LineOrder{id, server, line.weight});
        }
        for (const auto& [k, level] : t.levels) levelOrder(id, k, level);
    }

    // What the relay says in `base` as of `upTo`, as far as it is known: a value where nothing has changed
    // since.
    struct Base {
        TableId id = 0;
        const Table* table = nullptr;
        Version upTo = 0;
        [[nodiscard]] bool says(const std::string& server, float weight) const {
            const auto at = table->lines.find(server);
            return at != table->lines.end() && at->second.at <= upTo && at->second.weight == weight;
        }
        [[nodiscard]] bool says(std::size_t k, const Level& level) const {
            const auto at = table->levels.find(k);
            return at != table->levels.end() && at->second.at <= upTo && at->second.limit == level.limit &&
                   at->second.retryMode == level.retryMode;
        }
    };
    [[nodiscard]] static std::size_t distance(const Base& base, const Table& t) {
        std::size_t differs = 2;  // the lay and the check
        for (const auto& [server, line] : t.lines)
            differs += line.weight > 0 && !base.says(server, line.weight);
        for (const auto& [k, level] : t.levels) differs += !base.says(k, level);
        for (const auto& [k, level] : base.table->levels) {
            if (t.levels.count(k) == 0) return SIZE_MAX;  // a level can't be taken away
        }
        for (const auto& [server, line] : base.table->lines) differs += mustGo(base, t, server, line);
        return differs;
    }
    // A line that the relay may have there and that the new table has not.
    [[nodiscard]] static bool mustGo(const Base& base, const Table& t, const std::string& server,
                                     const Line& line) {
        const bool mayBeThere = line.weight > 0 || line.at > base.upTo;
        return mayBeThere && !t.holds(server);
    }
    [[nodiscard]] std::vector<Base> bases(TableId but) const {
        std::vector<Base> out;
        for (const auto& [id, held] : lane_.held_) {
            const Table* t = id == but ? nullptr : book_.find(id, held.born);
            if (t == nullptr || held.upTo < t->pruned) continue;
            // One that this batch has brought up to date already says what the book says; one that it has
            // laid anew is not there any more.
            const Parted::Held& now = out_.held.at(id);
            if (now.born == held.born) out.push_back({id, t, now.upTo});
            if (out.size() >= kLikeMost) break;
        }
        return out;
    }
    void lay(TableId id, const Table& t) {
        const Base* best = nullptr;
        std::size_t least = t.size();
        const bool trusted = lane_.rules_.maySkipLines && !lane_.dropped_;
        const std::vector<Base> candidates = trusted ? bases(id) : std::vector<Base>{};
        for (const Base& base : candidates) {
            const std::size_t d = distance(base, t);
            if (d >= least) continue;
            least = d;
            best = &base;
        }
        if (best == nullptr) return whole(id, t);
        linesSaved_ += t.size() - least;
        orders_.emplace_back(LayOrder{id, best->id});
        for (const auto& [server, line] : t.lines) {
            if (line.weight > 0 && !best->says(server, line.weight))
                orders_.emplace_back(protocol::LineOrder{id, server, line.weight});
        }
        for (const auto& [server, line] : best->table->lines) {
            if (mustGo(*best, t, server, line)) orders_.emplace_back(protocol::LineOrder{id, server, 0});
        }
        for (const auto& [k, level] : t.levels) {
            if (!best->says(k, level)) levelOrder(id, k, level);
        }
        orders_.emplace_back(CheckOrder{id, t.hash});
    }
    void binds() {
        for (auto& [proxy, told] : out_.told) {
            Version last = told;
            for (const auto& [mask, bound] : book_.binds(proxy)) {
                if (bound.at <= told) continue;
                orders_.emplace_back(protocol::BindOrder{proxy, bound.table, mask});
                concerned_.insert(proxy);
                last = std::max(last, bound.at);
            }
            told = last;
        }
    }
    std::vector<LaneOrder> clearOrders() const {
        std::vector<LaneOrder> out;
        for (const auto& [id, held] : out_.held) {
            const Table* t = book_.find(id);
            const bool stands = t != nullptr && t->born == held.born;
            if (!stands && needed_.count(id) == 0) out.emplace_back(protocol::ClearOrder{id});
        }
        return out;
    }

    const Lane& lane_;
    const TableBook& book_;
    std::map<TableId, std::vector<ProxyId>> needed_;  // and who uses them
    std::vector<ProxyId> unbound_;                    // proxies that still have their standing tables
};

void Lane::begin(Parted::Tables held, Version shutsUpTo) {
    held_ = std::move(held);
    shutsUpTo_ = shutsUpTo;
}

std::optional<Parted> Lane::part() const {
    if (refused_) return std::nullopt;
    Parted out{held_, {}, answered_, 0};
    // Only the last part of a batch says that all of it was taken.
    if (out_ && !out_->waits && out_->end == out_->batch.orders.size()) {
        out.withOut = out_->held;
        out.out = out_->batch.nonce;
    }
    return out;
}

void Lane::turned(std::optional<protocol::MarkOrder> mark) {
    if (!mark) return;
    marks_.push_back(mark->mark);
    if (marks_.size() > kMarksMost) marks_.erase(marks_.begin());
    everyProxy_ = everyProxy_ || mark->everyProxy;
}

std::optional<Batch> Lane::next(const TableBook& book, MessageLedger& messages, Micros now) {
    if (out_ ? !out_->waits : !prepare(book)) return std::nullopt;
    // What is not sent yet is worked out anew when its time has come, from what the book says then.
    const Micros earliest = messages.earliest(out_->batch.concerned, now);
    waitUntil_.reset();
    if (earliest > now) {
        waitUntil_ = earliest;
        if (out_->first == 0 && out_->end == 0) out_.reset();
        return std::nullopt;
    }
    if (out_->end == 0) {
        if (marks_.size() > 1) covered_.push_back(marks_);
        if (covered_.size() > kCoveredMost) covered_.pop_front();
        marks_.clear();
        everyProxy_ = false;
    }
    messages.sent(out_->batch.concerned, now);
    return nextPart(now);
}

// The difference, as the batch that is out but not sent yet; false if it concerns nobody.
bool Lane::prepare(const TableBook& book) {
    Difference difference(*this, book);
    if (!difference.make() && !everyProxy_) {
        marks_.clear();  // none of those turns was about a proxy of this lane
        waitUntil_.reset();
        return false;
    }
    linesSaved_ = difference.linesSaved_;
    out_ = std::move(difference.out_);
    out_->batch.orders = std::move(difference.orders_);
    if (!marks_.empty()) out_->batch.orders.emplace_back(protocol::MarkOrder{marks_.back(), everyProxy_});
    if (everyProxy_) {
        for (const auto& [proxy, told] : proxies_) difference.concerned_.insert(proxy);
    }
    out_->batch.concerned.assign(difference.concerned_.begin(), difference.concerned_.end());
    return true;
}

// The next part of what is out, as much as one batch may hold.
Batch Lane::nextPart(Micros now) {
    const auto& orders = out_->batch.orders;
    std::size_t bytes = 0;
    out_->end = out_->first;
    while (out_->end < orders.size() && (out_->end == out_->first || bytes < rules_.bytesMost)) {
        bytes += bytesOf(orders[out_->end++]);
    }
    out_->waits = false;
    out_->sentAt = now;
    out_->batch.nonce = ++nonce_;
    const auto at = [&](std::size_t n) { return orders.begin() + static_cast<std::ptrdiff_t>(n); };
    return {nonce_, {at(out_->first), at(out_->end)}, out_->batch.concerned};
}

void Lane::settle() {
    answered_ = out_->batch.nonce;
    held_ = std::move(out_->held);
    shutsUpTo_ = out_->shutsUpTo;
    for (auto& [proxy, told] : proxies_) {
        const auto at = out_->told.find(proxy);
        // A proxy that has come since (again, perhaps) has been told nothing yet.
        if (at != out_->told.end()) told = std::max(told, at->second);
    }
    out_.reset();
}

// What is left of the batch, as its next part. Binds of proxies that have left meanwhile would only be
// refused again.
void Lane::goOn() {
    auto& orders = out_->batch.orders;
    const auto first = orders.begin() + static_cast<std::ptrdiff_t>(out_->first);
    orders.erase(std::remove_if(first, orders.end(),
                                [&](const LaneOrder& o) {
                                    const auto* bind = std::get_if<protocol::BindOrder>(&o);
                                    return bind != nullptr && proxies_.count(bind->proxy) == 0;
                                }),
                 orders.end());
    if (out_->first >= orders.size()) return settle();
    out_->waits = true;
}

std::string laneOrderText(const LaneOrder& order, const std::vector<std::string>& classes) {
    if (const auto* lay = std::get_if<LayOrder>(&order))
        return "lay," + std::to_string(lay->table) + ',' + std::to_string(lay->like);
    if (const auto* check = std::get_if<CheckOrder>(&order)) return "check," + std::to_string(check->table);
    return std::visit(
        [&](const auto& o) -> std::string {
            if constexpr (std::is_constructible_v<protocol::Order, decltype(o)>) {
                return protocol::orderText(o, classes);
            }
            return {};
        },
        order);
}

Lane::Verdict Lane::answered(std::uint64_t nonce, std::size_t taken, const std::string& reason,
                             const std::vector<std::string>& classes) {
    Verdict verdict;
    if (!out_ || out_->waits || nonce != out_->batch.nonce) {
        verdict.told.push_back("an answer to a batch that is not out is left out");
        return verdict;
    }
    if (taken > out_->end - out_->first) {
        verdict.told.push_back("it says that it took more orders than it was sent");
        verdict.ends = verdict.forget = true;
        return verdict;
    }
    out_->first += taken;
    if (out_->first < out_->end) {
        refused(reason.empty() ? "no reason given" : reason, classes, verdict);
        if (verdict.ends) return verdict;
    }
    goOn();
    return verdict;
}

// At the first order that is not taken yet.
void Lane::refused(const std::string& why, const std::vector<std::string>& classes, Verdict& verdict) {
    refused_ = true;
    const LaneOrder& bad = out_->batch.orders[out_->first];
    const std::string text = laneOrderText(bad, classes) + ": " + why;
    if (std::holds_alternative<CheckOrder>(bad) || std::holds_alternative<LayOrder>(bad)) {
        verdict.told.push_back("it does not hold what it said it held, and starts over: " + text);
        verdict.ends = verdict.forget = true;
    } else if (out_->refusedAt == out_->first) {
        verdict.told.push_back("an order was refused twice and is dropped: " + text);
        ++out_->first;
        out_->refusedAt = SIZE_MAX;
        dropped_ = true;
    } else {
        verdict.told.push_back("an order was refused and is sent anew: " + text);
        out_->refusedAt = out_->first;
    }
}

Lane::Verdict Lane::due(Micros now) const {
    Verdict verdict;
    if (!out_ || out_->waits || now - out_->sentAt < rules_.answerWithin) return verdict;
    verdict.told.push_back("the outcome of a batch is unknown: no answer in time");
    verdict.ends = true;
    return verdict;
}

std::optional<Micros> Lane::nextDue() const {
    if (waitUntil_) return waitUntil_;
    if (!out_ || out_->waits || rules_.answerWithin == std::numeric_limits<Micros>::max())
        return std::nullopt;
    return out_->sentAt + rules_.answerWithin;
}

std::vector<std::uint16_t> Lane::marksOf(std::uint16_t mark) const {
    for (const auto& marks : covered_) {
        if (marks.back() == mark) return marks;
    }
    return {mark};
}

}  // namespace marldale::dispatch
