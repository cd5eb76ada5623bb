#include "wire/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace marldale::wire {
namespace {

constexpr std::size_t kZonesMost = 32;      // ClassSettings::zones has a bit for each
constexpr std::uint32_t kClassesMost = 16;  // a ClassMask has a bit for each

using Pairs = std::map<std::string, std::string, std::less<>>;

Pairs splitPairs(std::string_view text) {
    Pairs pairs;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (line.empty()) continue;
        const auto eq = line.find('=');
        if (eq == std::string_view::npos || eq == 0) {
            throw MalformedSetting("setting without '=': " + std::string(line.substr(0, 60)));
        }
        pairs.insert_or_assign(std::string(line.substr(0, eq)), std::string(line.substr(eq + 1)));
    }
    return pairs;
}

std::vector<std::string> splitList(std::string_view text) {
    std::vector<std::string> items;
    if (text.empty()) return items;
    for (;;) {
        const auto comma = text.find(',');
        items.emplace_back(text.substr(0, comma));
        if (comma == std::string_view::npos) return items;
        text = text.substr(comma + 1);
    }
}

[[noreturn]] void unreadable(std::string_view path, std::string_view value) {
    throw MalformedSetting("setting " + std::string(path) +
                           " can't be read: " + std::string(value.substr(0, 60)));
}

double toNumber(std::string_view path, std::string_view value) {
    double out = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(out) || out < 0 ||
        out > 1e15) {
        unreadable(path, value);
    }
    return out;
}

bool toFlag(std::string_view path, std::string_view value) {
    if (value == "true") return true;
    if (value == "false") return false;
    unreadable(path, value);
}

template <class Value>
struct Word {
    std::string_view text;
    Value value;
};

class Reader {
public:
    // With `problems` all that is wrong is noted there, and what can't be read is taken for its default.
    Reader(std::string_view text, std::vector<std::string>* problems)
        : pairs_(splitPairs(text)), problems_(problems) {}

    [[nodiscard]] const std::string* find(const std::string& path) const {
        const auto it = pairs_.find(path);
        return it == pairs_.end() ? nullptr : &it->second;
    }
    template <class Value, class Read>
    [[nodiscard]] Value noted(Value instead, const Read& read) const {
        if (problems_ == nullptr) return read();
        try {
            return read();
        } catch (const std::runtime_error& e) {
            problems_->emplace_back(e.what());
            return instead;
        }
    }
    [[nodiscard]] const std::string& needed(const std::string& path) const {
        const std::string* value = find(path);
        if (value == nullptr) throw MissingSetting("setting " + path + " is missing");
        return *value;
    }
    [[nodiscard]] double number(const std::string& path) const {
        return noted(0.0, [&] { return toNumber(path, needed(path)); });
    }
    [[nodiscard]] double number(const std::string& path, double absent) const {
        const std::string* value = find(path);
        return value == nullptr ? absent : noted(absent, [&] { return toNumber(path, *value); });
    }
    [[nodiscard]] Micros micros(const std::string& path) const { return std::llround(number(path)); }
    [[nodiscard]] Micros micros(const std::string& path, Micros absent) const {
        return std::llround(number(path, static_cast<double>(absent)));
    }
    [[nodiscard]] std::uint32_t count(const std::string& path) const {
        return noted(std::uint32_t{0}, [&] { return small(path, toNumber(path, needed(path))); });
    }
    [[nodiscard]] std::uint32_t count(const std::string& path, std::uint32_t absent) const {
        return noted(absent, [&] { return small(path, number(path, absent)); });
    }
    [[nodiscard]] bool flag(const std::string& path, bool absent) const {
        const std::string* value = find(path);
        return value == nullptr ? absent : noted(absent, [&] { return toFlag(path, *value); });
    }
    [[nodiscard]] std::vector<std::string> list(const std::string& path) const {
        const std::string* value = find(path);
        return value == nullptr ? std::vector<std::string>{} : splitList(*value);
    }
    // One flag for each class, as a list; absent items are false.
    [[nodiscard]] bool flagAt(const std::string& path, std::size_t index) const {
        const auto items = list(path);
        return index < items.size() && noted(false, [&] { return toFlag(path, items[index]); });
    }
    // One of some words; the first of them where it can't be read and problems are noted.
    template <class Value, std::size_t N>
    [[nodiscard]] Value word(const std::string& path, const Word<Value> (&words)[N]) const {
        return noted(words[0].value, [&] {
            const std::string& text = needed(path);
            for (const Word<Value>& word : words) {
                if (word.text == text) return word.value;
            }
            unreadable(path, text);
        });
    }
    void missing(const std::string& path) const {
        (void)noted(0, [&]() -> int { throw MissingSetting("setting " + path + " is missing"); });
    }
    void fail(const std::string& path, const std::string& value) const {
        (void)noted(0, [&]() -> int { unreadable(path, value); });
    }

private:
    [[nodiscard]] static std::uint32_t small(const std::string& path, double value) {
        if (value > 1e9) unreadable(path, std::to_string(value));
        return static_cast<std::uint32_t>(value);
    }

    Pairs pairs_;
    std::vector<std::string>* problems_;
};

ClassSettings readClass(const Reader& in, std::size_t index) {
    static constexpr Word<Repeat> kRepeats[] = {
        {"retryable", Repeat::retryable}, {"dedup", Repeat::dedup}, {"fragile", Repeat::fragile}};
    static constexpr Word<RepeatGroup> kGroups[] = {
        {"all", RepeatGroup::all}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}};
    const std::string at = "categories." + std::to_string(index) + ".";
    ClassSettings out;
    if (const std::string* name = in.find(at + "name")) out.name = *name;
    out.latencyTarget = in.micros(at + "aimUs");
    out.giveUp = in.micros(at + "giveUpUs", out.latencyTarget);
    out.worth = in.number(at + "points", 1);
    out.lateWorth = in.number(at + "lateWorth", 0);
    out.repeat = in.word(at + "idempotency", kRepeats);
    if (in.find(at + "group") != nullptr) out.group = in.word(at + "group", kGroups);
    out.dedupWindow = in.micros(at + "memorySpanUs", 0);
    out.writes = in.flagAt("extra.writers", index);
    out.ownZoneOnly = in.flagAt("extra.zoneBound", index);
    if (const std::string* zones = in.find(at + "onlyZones"); zones != nullptr && !zones->empty()) {
        out.zones = 0;
        for (const std::string& zone : splitList(*zones)) {
            const double index = in.noted(0.0, [&] { return toNumber(at + "onlyZones", zone); });
            if (index < kZonesMost) out.zones |= 1U << static_cast<unsigned>(index);
        }
    }
    return out;
}

std::uint32_t zoneIndex(const std::string& zone, const std::vector<std::string>& zones) {
    for (std::size_t i = 0; i < zones.size(); ++i) {
        if (zones[i] == zone) return static_cast<std::uint32_t>(i);
    }
    // On the wire a zone is told by its index.
    return static_cast<std::uint32_t>(toNumber("locality", zone));
}

void readRules(const Reader& in, Settings& out) {
    out.emptyFor = in.micros("extra.emptyForUs", 0);
    out.drainGrace = in.micros("rules.stopSendingWithinUs", 0);
    out.askWithin = in.micros("rules.askWithinUs", 0);
    out.coldShare = in.number("rules.coldShare");
    out.tipMultiple = in.number("rules.tipMultiple", 1);
    out.fallWithin = in.micros("rules.fallUs", 0);
    out.warmUp = in.micros("rules.warmUpUs");
    out.goneIsAdvice = in.flag("rules.goneIsAdvice", false);
}

void readChannel(const Reader& in, Settings& out) {
    out.pushRate = in.number("extra.pushRate");
    out.backlogLines = in.number("extra.backlog");
    out.envelopeLines = in.number("extra.envelope", 1);
    out.messagesMost = in.count("extra.messagesMost", 0);
    out.messagesOver = in.micros("extra.messagesOverUs", 0);
    out.reportEvery = in.micros("extra.reportEveryUs", 1000000);
    out.reportsPerS = in.number("extra.reportsPerS", 0);
    out.writeLease = in.micros("extra.writeLeaseUs", 0);
    out.settle = in.micros("extra.settleUs", 0);
}

}  // namespace

Settings parseSettings(std::string_view text, std::vector<std::string>* problems) {
    static constexpr Word<Admission> kAdmissions[] = {
        {"none", Admission::none}, {"share", Admission::share}, {"rate", Admission::rate}};
    static constexpr Word<bool> kListModes[] = {{"pushed", false}, {"on_request", true}};
    const Reader in(text, problems);
    Settings out;
    out.plannerIndex = in.count("me", 0);
    out.planners = in.count("balancers", 1);
    const auto zones = in.list("failureDomains");
    if (zones.empty()) in.missing("failureDomains");
    if (zones.size() > kZonesMost) in.fail("failureDomains", "more than 32 zones");
    out.zones = static_cast<std::uint32_t>(zones.size());
    if (const std::string* zone = in.find("locality")) {
        out.myZone = in.noted(std::uint32_t{0}, [&] { return zoneIndex(*zone, zones); });
    }
    out.proxies = in.count("extra.agents", 0);
    out.shards = in.count("extra.shards", 0);
    out.oneOwner = in.flag("extra.oneOwner", false);
    out.listOnRequest = in.word("membershipMode", kListModes);
    out.mayProbe = in.flag("limits.probes", false);
    out.loadFields = in.list("telemetry.fields");
    if (const std::string* how = in.find("telemetry.how")) out.reportsInAnswers = *how == "answers";
    out.admission = in.word("extra.admission", kAdmissions);
    out.defaultRetry = static_cast<int>(in.count("extra.defaultRetry", 1));
    out.tryTimeoutFactor = in.number("extra.perTry", 1);
    readChannel(in, out);
    readRules(in, out);
    const std::uint32_t classes = in.count("categories.count");
    if (classes == 0 || classes > kClassesMost) in.fail("categories.count", std::to_string(classes));
    for (std::size_t i = 0; i < std::min(classes, kClassesMost); ++i) out.classes.push_back(readClass(in, i));
    return out;
}

}  // namespace marldale::wire
