#include "replay/results.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marldale::replay {
namespace {

using Json = nlohmann::json;

constexpr Micros kSecond = 1000000;

Json quantiles(const trace::Histogram& h) {
    return {{"count", h.count()},
            {"mean", h.mean() / 1000},
            {"p50", h.quantile(0.5) / 1000},
            {"p90", h.quantile(0.9) / 1000},
            {"p99", h.quantile(0.99) / 1000},
            {"p999", h.quantile(0.999) / 1000},
            {"max", h.most() / 1000}};
}

}  // namespace

Results::Results(std::vector<std::string> names)
    : classes(std::move(names)),
      latency(classes.size()),
      service(classes.size()),
      lateness(classes.size()),
      bySecond(classes.size()) {}

void Results::sent(const Send& send, Micros now) {
    lateness[send.entry.classIndex].add(now - send.intended);
    ++bySecond[send.entry.classIndex][(now - begin) / kSecond].sent;
}

void Results::answered(const Send& send, const attempts::Answer& answer, Micros sentAt, Micros now) {
    const std::uint32_t c = send.entry.classIndex;
    latency[c].add(now - send.intended);
    service[c].add(now - sentAt);
    ++byStatus[answer.ended == attempts::Ended::answered ? answer.status : 0];
    const bool served = answer.ended == attempts::Ended::answered && answer.status < 400;
    auto& bin = bySecond[c][(now - begin) / kSecond];
    ++(served ? bin.answered : bin.failed);
}

std::string resultsJson(const Results& results, const std::vector<ClassFigures>& figures,
                        const Summary& summary) {
    Json out{{"version", 1},
             {"stopped", summary.stopped},
             {"why", summary.why},
             {"seconds", static_cast<double>(summary.took) / 1e6},
             {"resumed_from_entry", summary.resumedFrom},
             {"reply_bytes", summary.bytes},
             {"classes", Json::array()},
             {"statuses", Json::object()}};
    for (const auto& [status, count] : results.byStatus) out["statuses"][std::to_string(status)] = count;
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        const ClassFigures& f = figures[i];
        Json notSent = Json::object();
        for (std::size_t why = 0; why < f.notSent.size(); ++why) {
            if (f.notSent[why] > 0) notSent[name(static_cast<NotSent>(why))] = f.notSent[why];
        }
        out["classes"].push_back({{"name", results.classes[i]},
                                  {"entries", f.entries},
                                  {"sent", f.sent},
                                  {"answered", f.answered},
                                  {"failed", f.failed},
                                  {"retries", f.retries},
                                  {"not_sent", notSent},
                                  {"latency_from_intended_ms", quantiles(results.latency[i])},
                                  {"service_ms", quantiles(results.service[i])},
                                  {"lateness_ms", quantiles(results.lateness[i])}});
    }
    return out.dump(2) + "\n";
}

std::string resultsCsv(const Results& results) {
    std::ostringstream out;
    out << "second,class,sent,answered,failed\n";
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        for (const auto& [second, bin] : results.bySecond[i]) {
            out << second << ',' << results.classes[i] << ',' << bin.sent << ',' << bin.answered << ','
                << bin.failed << '\n';
        }
    }
    return out.str();
}

std::string resultsText(const Results& results, const std::vector<ClassFigures>& figures,
                        const Summary& summary) {
    std::string out;
    char line[240];
    const auto say = [&](auto... parts) {
        std::snprintf(line, sizeof line, parts...);
        out += line;
    };
    say("%-16s %9s %9s %9s %8s %8s | %28s | %22s\n", "class", "entries", "sent", "answered", "failed",
        "retries", "latency from intended, ms", "late, ms");
    say("%-16s %9s %9s %9s %8s %8s | %8s %9s %9s | %10s %11s\n", "", "", "", "", "", "", "p50", "p99", "max",
        "p99", "max");
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        const ClassFigures& f = figures[i];
        if (f.entries == 0) continue;
        const auto &l = results.latency[i], &late = results.lateness[i];
        say("%-16s %9llu %9llu %9llu %8llu %8llu | %8.1f %9.1f %9.1f | %10.1f %11.1f\n",
            results.classes[i].c_str(), static_cast<unsigned long long>(f.entries),
            static_cast<unsigned long long>(f.sent), static_cast<unsigned long long>(f.answered),
            static_cast<unsigned long long>(f.failed), static_cast<unsigned long long>(f.retries),
            l.quantile(0.5) / 1000, l.quantile(0.99) / 1000, l.most() / 1000, late.quantile(0.99) / 1000,
            late.most() / 1000);
    }
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        for (std::size_t why = 0; why < figures[i].notSent.size(); ++why) {
            const auto count = figures[i].notSent[why];
            if (count == 0) continue;
            say("not sent: %9llu of %s: %s\n", static_cast<unsigned long long>(count),
                results.classes[i].c_str(), name(static_cast<NotSent>(why)));
        }
    }
    if (summary.resumedFrom > 0) {
        say("resumed at entry %llu\n", static_cast<unsigned long long>(summary.resumedFrom));
    }
    say("%.1f s%s%s\n", static_cast<double>(summary.took) / 1e6, summary.stopped ? ", stopped: " : "",
        summary.stopped ? summary.why.c_str() : "");
    return out;
}

}  // namespace marldale::replay
