#include "routing/prober.h"

#include "routing/limits.h"

namespace marldale::routing {

Prober::Prober(transport::Loop& loop, bool withLoad, std::function<bool(Input)> post, Logger log)
    : loop_(loop), path_(withLoad ? "/_load" : "/ping"), post_(std::move(post)), log_(std::move(log)) {}

Prober::~Prober() {
    for (auto& [number, get] : out_) get->cancel();
}

void Prober::probe(ServerId server, const std::string& endpoint) {
    const auto address = transport::parseAddress(endpoint);
    if (!address || out_.size() >= limits::kProbesMost) {
        if (address) log_("probes", "too many probes are out; this one is not sent");
        (void)post_(ProbeEnded{server, ProbeOutcome::other, 0, {}});
        return;
    }
    const std::uint64_t number = ++lastNumber_;
    const SteadyTime from = SteadyTime::clock::now();
    transport::HttpGet::Handlers handlers;
    handlers.ended = [this, number, server, from](transport::HttpEnd how, int status, std::string_view body) {
        ended(number, server, from, how, status, body);
    };
    const transport::HttpLimits limits{limits::kProbe, limits::kProbe, limits::kProbeBodyMost};
    out_[number] = std::make_unique<transport::HttpGet>(loop_, *address, path_, limits, std::move(handlers));
}

void Prober::ended(std::uint64_t number, ServerId server, SteadyTime from, transport::HttpEnd how, int status,
                   std::string_view body) {
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(SteadyTime::clock::now() - from);
    ProbeEnded result{server, outcomeOf(how, status), took.count(), {}};
    if (how == transport::HttpEnd::answered) result.load = protocol::parseLoadLine(body);
    if (!post_(std::move(result))) log_("queue", "no room for a probe's answer");
    auto get = out_.extract(number);
    loop_.bury(std::move(get.mapped()));
}

ProbeOutcome outcomeOf(transport::HttpEnd how, int status) {
    switch (how) {
        case transport::HttpEnd::timeout: return ProbeOutcome::timeout;
        case transport::HttpEnd::unreachable: return ProbeOutcome::unreachable;
        case transport::HttpEnd::broken: return ProbeOutcome::broken;
        case transport::HttpEnd::answered: break;
    }
    if (status == 200) return ProbeOutcome::ok;
    return status == 503 ? ProbeOutcome::refused : ProbeOutcome::error;
}

}  // namespace marldale::routing
