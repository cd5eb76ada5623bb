#include "gateway/settings/settings.h"

#include <rapidjson/document.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "gateway/json/json.h"

namespace marldale::settings {
namespace {

constexpr const char* kSchema = R"({
 "type": "object",
 "required": ["node_name", "ip_address", "zone", "listen_on", "inside_ports", "seed_nodes", "first_run"],
 "properties": {
  "node_name": {"type": "string", "minLength": 1},
  "ip_address": {"type": "string", "pattern": "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+$"},
  "zone": {"type": "string", "minLength": 1},
  "zones": {"type": "object"},
  "listen_on": {"type": "object"},
  "inside_ports": {"type": "array", "minItems": 2, "items": {"type": "integer", "minimum": 1, "maximum": 65535}},
  "seed_nodes": {"type": "array", "items": {"type": "string", "pattern": "^[^:]+:[0-9]+$"}},
  "first_run": {"type": "boolean"},
  "limits": {"type": "object", "properties": {
    "processor_share": {"type": "number", "minimum": 0},
    "memory_mb": {"type": "number", "minimum": 1},
    "open_files": {"type": "integer", "minimum": 64}}},
  "bounds": {"type": "object"}
 }
})";

// Converts YAML to JSON. An alias may stand inside of what it stands for, or stand for many values at once,
// so the depth and the number of the values are limited.
class YamlConverter {
public:
    explicit YamlConverter(rapidjson::Document::AllocatorType& memory) : memory_(memory) {}

    absl::Status convert(const YAML::Node& node, rapidjson::Value& out, unsigned depth = 1) {
        if (depth > kMaxDepth) return absl::InvalidArgumentError("settings nest too deeply");
        if (++values_ > kMaxValues) return absl::InvalidArgumentError("settings have too many values");
        if (node.IsMap()) return convertMap(node, out, depth);
        if (node.IsSequence()) return convertSequence(node, out, depth);
        if (node.IsScalar()) return convertScalar(node, out);
        return absl::OkStatus();
    }

private:
    static constexpr unsigned kMaxDepth = 64;
    static constexpr std::size_t kMaxValues = 100000;

    absl::Status convertMap(const YAML::Node& node, rapidjson::Value& out, unsigned depth) {
        out.SetObject();
        for (const auto& entry : node) {
            rapidjson::Value name, value;
            if (auto s = convertText(entry.first.Scalar(), name); !s.ok()) return s;
            if (auto s = convert(entry.second, value, depth + 1); !s.ok()) return s;
            out.AddMember(name, value, memory_);
        }
        return absl::OkStatus();
    }
    absl::Status convertSequence(const YAML::Node& node, rapidjson::Value& out, unsigned depth) {
        out.SetArray();
        for (const YAML::Node& item : node) {
            rapidjson::Value value;
            if (auto s = convert(item, value, depth + 1); !s.ok()) return s;
            out.PushBack(value, memory_);
        }
        return absl::OkStatus();
    }
    // YAML's scalars have no types of their own: a plain true, false or number is one, anything quoted is
    // text.
    absl::Status convertScalar(const YAML::Node& node, rapidjson::Value& out) {
        const std::string& text = node.Scalar();
        std::int64_t whole = 0;
        double number = 0;
        const bool quoted = node.Tag() == "!";
        if (!quoted && (text == "true" || text == "false")) {
            out.SetBool(text == "true");
        } else if (!quoted && absl::SimpleAtoi(text, &whole)) {
            out.SetInt64(whole);
        } else if (!quoted && absl::SimpleAtod(text, &number)) {
            out.SetDouble(number);
        } else {
            return convertText(text, out);
        }
        return absl::OkStatus();
    }
    // Names of nodes and zones go to other processes, whose messages carry UTF-8 only.
    absl::Status convertText(const std::string& text, rapidjson::Value& out) {
        if (!json::isUtf8(text)) return absl::InvalidArgumentError("settings have a text that is not UTF-8");
        out.SetString(text.c_str(), static_cast<unsigned>(text.size()), memory_);
        return absl::OkStatus();
    }

    rapidjson::Document::AllocatorType& memory_;
    std::size_t values_ = 0;
};

const rapidjson::Value* find(const rapidjson::Value& from, const char* key) {
    if (!from.IsObject()) return nullptr;
    const auto at = from.FindMember(key);
    return at == from.MemberEnd() || at->value.IsNull() ? nullptr : &at->value;
}
std::string text(const rapidjson::Value& from, const char* key) {
    const rapidjson::Value* at = find(from, key);
    return at != nullptr && at->IsString() ? std::string(at->GetString(), at->GetStringLength())
                                           : std::string();
}
template <class Number>
void number(const rapidjson::Value& from, const char* key, Number& into) {
    const rapidjson::Value* at = find(from, key);
    if (at != nullptr && at->IsNumber()) into = static_cast<Number>(at->GetDouble());
}
absl::Status time(const rapidjson::Value& from, const char* key, Micros& into) {
    const rapidjson::Value* at = find(from, key);
    if (at == nullptr) return absl::OkStatus();
    if (!at->IsString())
        return absl::InvalidArgumentError(absl::StrCat(key, ": a time is a text such as \"1500ms\""));
    const auto read = readTime(std::string_view(at->GetString(), at->GetStringLength()));
    if (!read.ok()) return absl::InvalidArgumentError(absl::StrCat(key, ": ", read.status().message()));
    into = *read;
    return absl::OkStatus();
}

}  // namespace

std::vector<std::string> Settings::insideSeeds() const {
    std::vector<std::string> out;
    for (const std::string& seed : seeds)
        out.push_back(seed.substr(0, seed.find(':')) + ":" + std::to_string(portFirst));
    return out;
}

absl::StatusOr<Micros> readTime(std::string_view text) {
    double factor = 0;
    if (text.size() > 2 && text.substr(text.size() - 2) == "ms") {
        factor = 1e3;
        text.remove_suffix(2);
    } else if (text.size() > 1 && text.back() == 's') {
        factor = 1e6;
        text.remove_suffix(1);
    } else {
        return absl::InvalidArgumentError("a time is a number and its unit, ms or s");
    }
    double value = 0;
    const bool plain = text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (!plain || !absl::SimpleAtod(std::string(text), &value) || !std::isfinite(value) ||
        value * factor > 9e15) {
        return absl::InvalidArgumentError("a time is a number and its unit, ms or s");
    }
    return static_cast<Micros>(std::llround(value * factor));
}

namespace {

// Who this process is and where.
void readIdentity(const rapidjson::Value& json, Settings& out) {
    out.node = text(json, "node_name");
    out.role = text(json, "role");
    out.ip = text(json, "ip_address");
    out.zone = text(json, "zone");
    out.region = text(json, "region");
    if (const auto* zones = find(json, "zones")) {
        for (const auto& zone : zones->GetObject()) {
            out.zones[zone.name.GetString()] = zone.value.IsString() ? zone.value.GetString() : "";
        }
    }
    out.zones.emplace(out.zone, out.region);
}

// Where it listens, and which other machines it is told of.
absl::Status readAddresses(const rapidjson::Value& json, Settings& out) {
    const rapidjson::Value& listen = json["listen_on"];
    out.front = text(listen, "front");
    out.readiness = text(listen, "readiness");
    out.control = text(listen, "control");
    out.portFirst = json["inside_ports"][0].GetUint();
    out.portLast = json["inside_ports"][1].GetUint();
    if (out.portLast < out.portFirst)
        return absl::InvalidArgumentError("settings #/inside_ports: the second is below the first");
    for (const auto& seed : json["seed_nodes"].GetArray()) out.seeds.emplace_back(seed.GetString());
    return absl::OkStatus();
}

// What the machine gives the process.
void readLimits(const rapidjson::Value& limits, Settings& out) {
    number(limits, "processor_share", out.processorShare);
    number(limits, "cores", out.cores);
    number(limits, "memory_mb", out.memoryMb);
    number(limits, "open_files", out.openFiles);
    number(limits, "disk_mb", out.diskMb);
}

// The figures of the rules in force.
absl::Status readBounds(const rapidjson::Value& json, Bounds& bounds) {
    const std::initializer_list<std::pair<const char*, Micros*>> times = {
        {"seed_delay", &bounds.seedDelay},
        {"reuse_after", &bounds.reuseAfter},
        {"in_touch", &bounds.inTouch},
        {"confirm", &bounds.confirm},
        {"catch_up", &bounds.catchUp},
        {"drain", &bounds.drain},
        {"grace", &bounds.grace},
        {"apply", &bounds.apply},
        {"go_back", &bounds.goBack},
        {"stretch", &bounds.stretch},
        {"retry_window", &bounds.retryWindow},
        {"empty_zone", &bounds.emptyZone},
        {"recover", &bounds.recover}};
    for (const auto& [key, into] : times) {
        if (auto status = time(json, key, *into); !status.ok()) return status;
    }
    number(json, "retry_ratio", bounds.retryRatio);
    number(json, "extra_tries", bounds.extraTries);
    number(json, "cold_excess", bounds.coldExcess);
    number(json, "cold_margin", bounds.coldMargin);
    return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Settings> parse(const std::string& yaml) {
    rapidjson::Document json;
    try {
        if (auto s = YamlConverter(json.GetAllocator()).convert(YAML::Load(yaml), json); !s.ok()) return s;
    } catch (const YAML::Exception& wrong) {
        return absl::InvalidArgumentError(absl::StrCat("settings are no YAML: ", wrong.what()));
    }
    static const json::Schema schema(kSchema);
    if (const auto wrong = schema.violation(json); !wrong.empty())
        return absl::InvalidArgumentError(absl::StrCat("settings ", wrong));
    Settings out;
    readIdentity(json, out);
    if (auto status = readAddresses(json, out); !status.ok()) return status;
    out.firstRun = json["first_run"].GetBool();
    if (const auto* limits = find(json, "limits")) readLimits(*limits, out);
    out.dataFolder = text(json, "data_folder");
    if (auto status = time(json, "beat_every", out.beatEvery); !status.ok()) return status;
    if (const auto* bounds = find(json, "bounds")) {
        if (auto status = readBounds(*bounds, out.bounds); !status.ok()) return status;
    }
    return out;
}

absl::StatusOr<Settings> readFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) return absl::NotFoundError(absl::StrCat("settings: ", path, " can't be read"));
    std::ostringstream all;
    all << file.rdbuf();
    return parse(all.str());
}

}  // namespace marldale::settings
