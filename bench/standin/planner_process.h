// build/marldale as a process beside stand-ins, and what it uses.
#pragma once

#include <optional>
#include <string>

#include "support/process.h"

namespace marldale::standin {

struct Usage {
    double cpuMs = 0;  // of all its threads, since its start
    double residentMb = 0, anonymousMb = 0;
    std::size_t descriptors = 0, threads = 0;
};

class PlannerProcess {
public:
    // `config`: JSON for RELAY_CONFIG; `settings`: INI, or empty for none. Waits until it serves; throws
    // std::runtime_error with its log if it does not come to that.
    PlannerProcess(const std::string& config, const std::string& settings);
    ~PlannerProcess();

    [[nodiscard]] std::string log() const { return process_->errors(); }
    [[nodiscard]] std::string grpcAddress() const;  // as its log tells
    [[nodiscard]] Usage usage() const;
    [[nodiscard]] bool maps(const std::string& library) const;
    [[nodiscard]] double startedWithinMs() const { return startedMs_; }
    // CPU time once it has become quiet, and for how long it was watched for that (its timers use some too).
    [[nodiscard]] double quietCpuMs() const;
    [[nodiscard]] const std::string& directory() const { return directory_; }
    int end(int signal) { return process_->end(signal); }

private:
    std::string directory_;
    std::optional<tests::Process> process_;
    double startedMs_ = 0;
};

// A port of loopback that nothing listens on now.
[[nodiscard]] std::uint16_t freePort();

}  // namespace marldale::standin
