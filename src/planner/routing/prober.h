// Probes of servers, as the module orders them.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "routing/logger.h"
#include "routing/translator.h"
#include "transport/http_get.h"

namespace marldale::routing {

class Prober {
public:
    // Servers that have load reports are asked for them: the same answer with more in it.
    Prober(transport::Loop& loop, bool withLoad, std::function<bool(Input)> post, Logger log);
    ~Prober();
    Prober(const Prober&) = delete;
    Prober& operator=(const Prober&) = delete;

    void probe(ServerId server, const std::string& endpoint);

private:
    void ended(std::uint64_t number, ServerId server, SteadyTime from, transport::HttpEnd how, int status,
               std::string_view body);

    transport::Loop& loop_;
    const std::string path_;
    const std::function<bool(Input)> post_;
    const Logger log_;
    std::uint64_t lastNumber_ = 0;
    std::map<std::uint64_t, std::unique_ptr<transport::HttpGet>> out_;
};

// How the outcomes of a GET are told to the module.
[[nodiscard]] ProbeOutcome outcomeOf(transport::HttpEnd how, int status);

}  // namespace marldale::routing
