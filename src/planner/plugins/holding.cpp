#include "plugins/holding.h"

#include <algorithm>
#include <utility>

namespace marldale::plugins {
namespace {

double millis(std::int64_t micros) { return static_cast<double>(micros) / 1000; }

Row rowOf(const protocol::Report& report) {
    Row out;
    if (const auto* o = std::get_if<protocol::Outcomes>(&report)) {
        out = {o->server, o->zone, "", o->tries, o->failed, -1, millis(o->meanUs), millis(o->overUs)};
    } else if (const auto* d = std::get_if<protocol::Demand>(&report)) {
        out = {"", "", d->klass, d->came, d->failed, d->proxy, 0, millis(d->overUs)};
    }
    return out;
}

void relabel(protocol::Report& report, const std::string& klass) {
    if (auto* d = std::get_if<protocol::Demand>(&report)) d->klass = klass;
}

}  // namespace

std::vector<Row> rowsOf(const routing::Input& input) {
    std::vector<Row> out;
    if (const auto* r = std::get_if<protocol::Report>(&input)) out.push_back(rowOf(*r));
    if (const auto* s = std::get_if<routing::SourceRows>(&input)) {
        for (const protocol::Report& r : s->rows) out.push_back(rowOf(r));
    }
    return out;
}

std::optional<routing::Input> applied(routing::Input input, const std::vector<RowVerdict>& verdicts,
                                      std::size_t first) {
    if (auto* r = std::get_if<protocol::Report>(&input)) {
        if (verdicts[first].leaveOut) return std::nullopt;
        if (!verdicts[first].klass.empty()) relabel(*r, verdicts[first].klass);
    }
    if (auto* s = std::get_if<routing::SourceRows>(&input)) {
        std::vector<protocol::Report> kept;
        for (std::size_t i = 0; i < s->rows.size(); ++i) {
            const RowVerdict& verdict = verdicts[first + i];
            if (verdict.leaveOut) continue;
            if (!verdict.klass.empty()) relabel(s->rows[i], verdict.klass);
            kept.push_back(std::move(s->rows[i]));
        }
        s->rows = std::move(kept);  // the source has been heard all the same
    }
    return input;
}

bool Holding::push(routing::Input input, Micros now) {
    const std::size_t rows = rowsOf(input).size();
    if (rows_ + rows > settings_.rowsMost) return false;
    rows_ += rows;
    items_.push_back({std::move(input), now, rows});
    return true;
}

std::optional<Holding::Batch> Holding::cut(Micros) {
    if (out_ > 0 || items_.empty()) return std::nullopt;
    Batch out;
    out.id = ++id_;
    while (out_ < items_.size() &&
           (out_ == 0 || out.rows.size() + items_[out_].rows <= settings_.batchMost)) {
        for (Row& row : rowsOf(items_[out_].input)) out.rows.push_back(std::move(row));
        ++out_;
    }
    return out;
}

std::vector<routing::Input> Holding::release(std::size_t items) {
    std::vector<routing::Input> out;
    for (; items > 0; --items) {
        rows_ -= items_.front().rows;
        out.push_back(std::move(items_.front().input));
        items_.pop_front();
        out_ -= out_ > 0 ? 1 : 0;
    }
    return out;
}

std::vector<routing::Input> Holding::take(std::uint64_t id, const std::vector<RowVerdict>& verdicts) {
    if (id != id_ || out_ == 0) return {};
    std::size_t rows = 0;
    for (std::size_t i = 0; i < out_; ++i) rows += items_[i].rows;
    if (verdicts.size() != rows) return giveUp();
    std::vector<std::size_t> counts;
    for (std::size_t i = 0; i < out_; ++i) counts.push_back(items_[i].rows);
    std::vector<routing::Input> out;
    std::size_t first = 0, item = 0;
    for (routing::Input& input : release(out_)) {
        if (auto kept = counts[item] == 0 ? std::optional(std::move(input))
                                          : applied(std::move(input), verdicts, first))
            out.push_back(std::move(*kept));
        first += counts[item++];
    }
    return out;
}

std::vector<routing::Input> Holding::giveUp() {
    ++id_;  // whatever still comes is about nothing
    late_ += rows_;
    return release(items_.size());
}

std::vector<routing::Input> Holding::due(Micros now) {
    std::size_t late = 0;
    while (late < items_.size() && now - items_[late].came >= settings_.within) ++late;
    if (late == 0) return {};
    // What was asked together goes together: a verdict on a part of it could not be told from one on all.
    if (out_ > 0) {
        late = std::max(late, out_);
        ++id_;
    }
    for (std::size_t i = 0; i < late; ++i) late_ += items_[i].rows;
    out_ = 0;
    return release(late);
}

std::optional<Micros> Holding::nextDue() const {
    if (items_.empty()) return std::nullopt;
    return items_.front().came + settings_.within;
}

}  // namespace marldale::plugins
