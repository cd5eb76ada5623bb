#include "gateway/aqueduct/line_book.h"

namespace marldale::aqueduct {
namespace {

// The line that takes back what a key stands for; none for those that stay as they are.
proto::Line dropOf(const std::string& key) {
    proto::Line out;
    switch (key[0]) {
        case 'r': out.set_route_drop(key.substr(2)); break;
        case 's': out.set_service_drop(key.substr(2)); break;
        case 'v': out.set_server_drop(key.substr(2)); break;
        case 'z': out.set_zone_filled(key.substr(2)); break;
        default: break;
    }
    return out;
}

}  // namespace

double LineBook::Port::worth(const std::string& /*zone*/, const std::string& key, const Wanted* now, Hash /*held*/) const {
    // Servers that go and zones that are emptied or filled do not wait for the slowest sluice.
    const bool urgent = now != nullptr ? now->urgent : key[0] == 'v' || key[0] == 'z';
    if (urgent) return policy::kUrgentWorth;
    return key[0] == 'v' ? 0 : 1;  // the zones' words before their servers'
}

void LineBook::Port::line(TableId table, const std::string& key, const Wanted* now) const {
    for (const SluiceId sluice : book.lines_.tables.at(table).bound) book.send(sluice, key, now);
}

void LineBook::Port::bind(SluiceId sluice, TableId table) const {
    // It is sent what differs from what it has been sent already, be it another copy of the same.
    const auto& target = book.lines_.tables.at(table);
    auto& sent = book.sent_[sluice];
    for (const auto& [key, line] : book.wanted) {
        const auto has = sent.find(key);
        if (target.held(key) != 0 && (has == sent.end() || has->second != line.hash)) book.send(sluice, key, &line);
    }
    std::vector<std::string> surplus;
    for (const auto& [key, hash] : sent) {
        if (target.held(key) == 0) surplus.push_back(key);
    }
    for (const std::string& key : surplus) book.send(sluice, key, nullptr);
}

void LineBook::Port::wrote(SluiceId sluice, double /*lines*/) const { book.out_[sluice].mark = book.lines_.turn; }

void LineBook::send(SluiceId sluice, const std::string& key, const Wanted* line) {
    auto& sent = sent_[sluice];
    if (line == nullptr) {
        sent.erase(key);
        proto::Line drop = dropOf(key);
        if (drop.what_case() != proto::Line::WHAT_NOT_SET) out_[sluice].lines.push_back(std::move(drop));
        return;
    }
    sent[key] = line->hash;
    out_[sluice].lines.push_back(line->line);
}

void LineBook::join(SluiceId sluice, const std::string& zone) { joining_[sluice] = zone; }

void LineBook::leave(SluiceId sluice) {
    joining_.erase(sluice);
    sent_.erase(sluice);
    if (lines_.seats.count(sluice) != 0) lines_.leave(sluice);
}

void LineBook::answered(SluiceId sluice, std::uint64_t mark) { lines_.answer(sluice, mark); }

std::map<SluiceId, LineBook::Batch> LineBook::turn(Micros now) {
    out_.clear();
    lines_.now = now;
    ++lines_.turn;
    std::map<std::string, std::set<SluiceId>> fresh;  // by zone
    for (const auto& [sluice, zone] : joining_) {
        lines_.seats[sluice];
        fresh[zone].insert(sluice);
    }
    for (const auto& [zone, sluices] : fresh) lines_.bindFresh(sluices, zone, false);
    lines_.run();
    for (auto& [sluice, batch] : out_) {
        batch.fresh = joining_.count(sluice) != 0;
        const auto sent = sent_.find(sluice);
        batch.whole = sent != sent_.end() && sent->second.size() == wanted.size() &&
                      std::equal(wanted.begin(), wanted.end(), sent->second.begin(),
                                 [](const auto& a, const auto& b) { return a.first == b.first && a.second.hash == b.second; });
    }
    joining_.clear();
    return std::exchange(out_, {});
}

bool LineBook::unanswered(SluiceId sluice) const {
    const auto at = lines_.seats.find(sluice);
    return at != lines_.seats.end() && !at->second.marks.empty();
}

}  // namespace marldale::aqueduct
