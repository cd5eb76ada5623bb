#include "protocol/reports.h"

#include <charconv>
#include <limits>

#include "protocol/frames.h"

namespace marldale::protocol {
namespace {

constexpr double kSpanMostMs = kSpanMostUs / 1000.0;

LoadValues loadIn(const Json& object) {
    LoadValues out;
    const auto at = object.find("util");
    if (at == object.end() || !at->is_object()) return out;
    for (const auto& [key, value] : at->items()) {
        const auto number = numberIn(*at, key.c_str(), kLoadMost);
        if (number && out.size() < kLoadValuesMost) out.emplace(key, *number);
    }
    return out;
}

std::optional<std::uint32_t> countIn(const Json& object, const char* key) {
    return wholeIn<std::uint32_t>(object, key, kCountMost);
}
std::optional<std::int64_t> spanIn(const Json& object) { return millisIn(object, "over", kSpanMostMs); }

std::optional<Report> outcomes(const Json& object) {
    const auto zone = textIn(object, "site");
    const auto server = textIn(object, "target");
    const auto tries = countIn(object, "count");
    const auto failed = countIn(object, "fail");
    const auto over = spanIn(object);
    if (!zone || !server || !tries || !failed || !over) return std::nullopt;
    // Where all tries failed there is no mean.
    const auto mean = millisIn(object, "mean", kSpanMostMs);
    if (!mean && *failed < *tries) return std::nullopt;
    Outcomes out{*zone, *server, *tries, *failed, mean.value_or(0), *over, {}};
    if (!isSound(out)) return std::nullopt;
    out.load = loadIn(object);
    return out;
}

std::optional<Report> demand(const Json& object) {
    const auto proxy = wholeIn<std::uint16_t>(object, "id", std::numeric_limits<std::uint16_t>::max());
    const auto klass = textIn(object, "lane");
    const auto came = countIn(object, "count");
    const auto failed = countIn(object, "fail");
    const auto over = spanIn(object);
    if (!proxy || !klass || !came || !failed || !over) return std::nullopt;
    const Demand out{*proxy, *klass, *came, *failed, *over};
    if (!isSound(out)) return std::nullopt;
    return out;
}

}  // namespace

bool isSound(const Outcomes& row) {
    return row.tries <= kCountMost && row.failed <= row.tries && row.overUs > 0 &&
           row.overUs <= kSpanMostUs && row.meanUs >= 0 && row.meanUs <= kSpanMostUs;
}

bool isSound(const Demand& row) {
    return row.came <= kCountMost && row.failed <= kCountMost && row.overUs > 0 && row.overUs <= kSpanMostUs;
}

std::optional<Report> parseReport(std::string_view text) { return readReport(parseJson(text)); }

std::optional<Report> readReport(const Json& object) {
    if (!object.is_object()) return std::nullopt;
    const auto type = textIn(object, "type");
    if (!type) return std::nullopt;
    if (*type == "outcomes") return outcomes(object);
    if (*type == "demand") return demand(object);
    if (*type == "probe") return AliveProbe{};
    if (*type == "agent") {
        const auto zone = textIn(object, "site");
        if (!zone) return std::nullopt;
        return CollectorHello{*zone};
    }
    return UnknownReport{*type};
}

std::string aliveAnswer() { return frame(R"({"type":"alive"})"); }
std::string errorAnswer() { return frame(R"({"type":"error","text":"probe, or join as an agent first"})"); }

LoadValues parseLoadLine(std::string_view text) {
    LoadValues out;
    constexpr std::string_view kHead = "TEXT ";
    if (!text.starts_with(kHead)) return out;
    text.remove_prefix(kHead.size());
    while (!text.empty() && out.size() < kLoadValuesMost) {
        const auto comma = text.find(',');
        std::string_view item = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        while (item.starts_with(' ')) item.remove_prefix(1);
        const auto eq = item.find('=');
        if (eq == std::string_view::npos || eq == 0) continue;
        double value = 0;
        const auto error = std::from_chars(item.data() + eq + 1, item.data() + item.size(), value).ec;
        if (error != std::errc{} || !(value >= 0) || value > kLoadMost) continue;
        out.emplace(item.substr(0, eq), value);
    }
    return out;
}

}  // namespace marldale::protocol
