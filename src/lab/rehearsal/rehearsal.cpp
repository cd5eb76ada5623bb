#include "rehearsal/rehearsal.h"

#include <algorithm>
#include <utility>

#include "emulator/instance.h"
#include "plugins/provenance.h"

namespace marldale::plugins {
namespace {

using emulator::Listed;

std::vector<ClassView> classesOf(const emulator::Scenario& scenario) {
    std::vector<ClassView> out;
    for (const auto& k : scenario.classes) out.push_back({k.name, k.writes || k.repeat == Repeat::fragile});
    return out;
}

double seconds(Micros micros) { return static_cast<double>(micros) / 1e6; }

}  // namespace

HookedPlanner::HookedPlanner(std::unique_ptr<emulator::PlannerLink> inner, const emulator::Scenario& scenario,
                             const emulator::ListedNews& known, const std::vector<Change>& changes,
                             const RehearsalSettings& settings, Doings& doings, Micros now)
    : inner_(std::move(inner)),
      scenario_(scenario),
      changes_(changes),
      settings_(settings),
      doings_(doings),
      classes_(classesOf(scenario)),
      worker_(
          std::make_unique<Worker>(settings.limits, [this](const Json& words) { words_.push_back(words); })),
      wardrobe_(
          settings.wardrobe, [this](const Json& words) { (void)worker_->take(words); },
          [this](const std::string& text) { ++doings_.said[text]; }),
      rows_(settings.wardrobe.guard),
      nextTick_(now),
      countedTo_(now) {
    for (const Listed& listed : known.entries) list_[emulator::uidOf(listed.box)] = listed;
    wardrobe_.workerStarted();
}

FleetView HookedPlanner::fleet(Micros now) const {
    FleetView out;
    out.zones = scenario_.fleet.zones;
    out.classes = classes_;
    for (const auto& [uid, listed] : list_) {
        const bool warm = listed.boot == 0 || now - listed.boot >= scenario_.box.warmUp;
        out.boxes.push_back({uid, scenario_.fleet.zones[listed.zone], listed.state, 1, warm});
    }
    return out;
}

void HookedPlanner::hear(const emulator::ListedNews& news, Micros now) {
    if (news.whole) list_.clear();
    emulator::ListedNews told = news;
    for (Listed& listed : told.entries) {
        const std::string uid = emulator::uidOf(listed.box);
        if (listed.state == ServerState::gone) list_.erase(uid);
        if (listed.state != ServerState::gone) list_[uid] = listed;
        const auto at = standing_.boxes.find(uid);
        if (at == standing_.boxes.end() || listed.state != ServerState::ready) continue;
        listed.weight *= at->second.factor;
        if (at->second.hold) listed.state = ServerState::draining;
    }
    inner_->hear(told, now);
}

std::map<std::string, std::vector<RowWish>> HookedPlanner::ask(const char* function, Json with,
                                                               std::size_t rows, Micros now) {
    if (!wardrobe_.wants(function)) return {};
    const std::uint64_t id = ++lastCall_;
    wardrobe_.asked(id, function, with, rows);
    (void)worker_->take({{"do", "call"},
                         {"id", id},
                         {"call", function},
                         {"with", std::move(with)},
                         {"hooks", wardrobe_.askable(function)}});
    while (!words_.empty()) {
        const Json words = std::move(words_.front());
        words_.pop_front();
        for (const Json& result : words.value("results", Json::array())) {
            ++doings_.calls;
            doings_.errors += result.value("good", false) ? 0 : 1;
            const auto spent = result.value("spent", std::uint64_t{0});
            doings_.spent += spent;
            doings_.spentMost = std::max(doings_.spentMost, spent);
        }
        (void)wardrobe_.hear(words, now);
    }
    std::map<std::string, std::vector<RowWish>> out;
    for (Wardrobe::Said& said : wardrobe_.takeSaid()) {
        if (said.id == id) out = std::move(said.rows);
    }
    return out;
}

void HookedPlanner::hear(const std::vector<emulator::SumRow>& sums,
                         const std::vector<emulator::DemandRow>& demand, Micros over, Micros now) {
    std::vector<Row> rows;
    Json told = Json::array();
    for (const emulator::SumRow& s : sums) {
        rows.push_back({emulator::uidOf(s.box), scenario_.fleet.zones[s.zone], "", s.tries, s.failed, -1,
                        static_cast<double>(s.mean()) / 1000, seconds(over) * 1000});
        told.push_back({{"kind", "sums"},
                        {"server", rows.back().box},
                        {"zone", rows.back().zone},
                        {"tries", s.tries},
                        {"failed", s.failed},
                        {"mean_ms", rows.back().meanMs},
                        {"over_ms", rows.back().overMs}});
    }
    for (const emulator::DemandRow& d : demand) {
        rows.push_back({"", "", scenario_.classes[d.klass].name, d.came, d.failed,
                        static_cast<std::int32_t>(d.relay), 0, seconds(over) * 1000});
        told.push_back({{"kind", "demand"},
                        {"class", rows.back().klass},
                        {"relay", d.relay},
                        {"came", d.came},
                        {"failed", d.failed},
                        {"over_ms", rows.back().overMs}});
    }
    doings_.rows += rows.size();
    if (rows.empty() || !wardrobe_.wants(kOnRows)) return inner_->hear(sums, demand, over, now);
    std::vector<Clip> clips;
    const auto verdicts =
        rows_.decide(rows, ask(kOnRows, std::move(told), rows.size(), now), classes_, now, clips);
    wardrobe_.told(std::move(clips));
    std::vector<emulator::SumRow> sumsOn;
    std::vector<emulator::DemandRow> demandOn;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        doings_.rowsLeftOut += verdicts[i].leaveOut ? 1 : 0;
        if (verdicts[i].leaveOut) continue;
        if (i < sums.size()) {
            sumsOn.push_back(sums[i]);
            continue;
        }
        demandOn.push_back(demand[i - sums.size()]);
        if (verdicts[i].klass.empty()) continue;
        ++doings_.rowsRelabelled;
        for (std::size_t k = 0; k < classes_.size(); ++k) {
            if (classes_[k].name == verdicts[i].klass) demandOn.back().klass = static_cast<std::uint32_t>(k);
        }
    }
    inner_->hear(sumsOn, demandOn, over, now);
}

void HookedPlanner::hold(Micros now) {
    const Standing before = std::exchange(standing_, wardrobe_.standing(fleet(now), now));
    const Standing& after = standing_;
    if (before == after) return;
    std::vector<Listed> treated;
    for (const auto& [uid, listed] : list_) {
        const auto was = before.boxes.find(uid), is = after.boxes.find(uid);
        const Standing::Box from = was == before.boxes.end() ? Standing::Box{} : was->second,
                            to = is == after.boxes.end() ? Standing::Box{} : is->second;
        if (from == to || listed.state != ServerState::ready) continue;
        treated.push_back(listed);
        treated.back().weight *= to.factor;
        if (to.hold) treated.back().state = ServerState::draining;
    }
    if (!treated.empty()) inner_->treat(treated);
    for (std::uint32_t z = 0; z < scenario_.fleet.zones.size(); ++z) {
        for (std::uint32_t k = 0; k < classes_.size(); ++k) {
            const std::pair key{scenario_.fleet.zones[z], classes_[k].name};
            const auto was = before.levels.find(key), is = after.levels.find(key);
            const double from = was == before.levels.end() ? 1 : was->second,
                         to = is == after.levels.end() ? 1 : is->second;
            if (from != to) inner_->ceiling(z, k, to);
        }
    }
}

void HookedPlanner::tick(Micros now) {
    const double passed = seconds(now - std::exchange(countedTo_, now));
    for (const auto& [key, share] : standing_.levels) doings_.levelSeconds[key] += passed;
    for (const auto& [uid, box] : standing_.boxes) doings_.boxSeconds[uid] += passed;
    for (; changed_ < changes_.size() && changes_[changed_].at <= now; ++changed_) {
        const Change& change = changes_[changed_];
        change.text.empty() ? (void)loaded_.erase(change.hook) : (void)loaded_.insert(change.hook);
        wardrobe_.keepOnly(loaded_);
        if (!change.text.empty()) wardrobe_.offer(change.hook, change.text, sha256(change.text), now);
    }
    while (!words_.empty()) {
        (void)wardrobe_.hear(words_.front(), now);
        words_.pop_front();
    }
    wardrobe_.due(now);
    (void)ask(kOnTick, viewOf(fleet(now), now), 0, now);
    hold(now);
}

void HookedPlanner::step(Micros now) {
    if (now >= nextTick_) {
        tick(now);
        nextTick_ = now + settings_.tick;
    }
    inner_->step(now);
}

std::optional<Micros> HookedPlanner::nextDue() const {
    const auto inner = inner_->nextDue();
    return inner ? std::min(*inner, nextTick_) : nextTick_;
}

Rehearsed rehearse(const emulator::Scenario& scenario, const std::vector<Change>& changes,
                   const RehearsalSettings& settings) {
    Rehearsed out;
    emulator::EventLog log;
    emulator::RuleChecker rules(scenario);
    emulator::Score score(scenario);
    log.readAlong([&](const emulator::Event& e) {
        rules.read(e);
        score.read(e);
    });
    emulator::Outside outside;
    if (!changes.empty()) {
        outside.planner = [&](const emulator::Scenario& s, const emulator::Start& start,
                              const emulator::Outside::Numbers& numbers, const emulator::ListedNews& known) {
            return std::make_unique<HookedPlanner>(
                std::make_unique<emulator::Instance>(s, start, numbers, known), s, known, changes, settings,
                out.doings, start.now);
        };
    }
    emulator::Emulation emulation(scenario, log, std::move(outside));
    emulation.run();
    rules.finish(scenario.run.duration);
    log.finish();
    out.service = score.service();
    out.whole = score.whole();
    out.worstWindow = score.worstWindow();
    out.worstClass = score.worstClass();
    for (std::size_t k = 0; k < scenario.classes.size(); ++k) {
        const auto& figures = score.classes()[k];
        const auto refused =
            static_cast<double>(figures.ends[static_cast<std::size_t>(emulator::End::refused)]);
        out.classes.push_back({scenario.classes[k].name, figures.share(),
                               figures.wishes > 0 ? refused / static_cast<double>(figures.wishes) : 0,
                               figures.wishes});
    }
    out.windows = score.windows();
    out.broken = rules.count();
    for (const auto& v : rules.violations()) out.violations.push_back(v.text);
    out.happenings = emulation.happenings();
    out.effects = score.effects();
    out.hash = log.hash();
    return out;
}

}  // namespace marldale::plugins
