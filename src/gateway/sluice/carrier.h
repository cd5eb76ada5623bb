// The data path of a sluice: requests in at the front, out to servers as its tables say, answers back;
// readiness.
#pragma once

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/manifold/tables.h"
#include "policy/types.h"

namespace marldale::sluice {

namespace proto = gateway::proto;

struct CarrierSettings {
    std::string front, readiness;  // "10.1.0.34:8548"
    std::string zone;
    std::size_t openFiles = 4096;
    double cores = 1;  // of the machine's processor
    Micros grace = 6000000, inTouch = 3000000;
    double retryRatio = 0.2;
    Micros retryWindow = 10000000;
    unsigned extraTries = 0;
    double coldExcess = 1, coldMargin = 0;
    std::uint64_t seed = 1;
};

class Carrier {
public:
    // All calls and handlers on one thread. `tables` must outlive it.
    Carrier(boost::asio::io_context& loop, CarrierSettings settings, manifold::Tables& tables);
    ~Carrier();
    Carrier(const Carrier&) = delete;
    Carrier& operator=(const Carrier&) = delete;

    // Front and readiness. Invalid argument: no address; unavailable: it can't be listened on.
    absl::Status listen();
    // After `Tables::obey`: connections to servers that are gone are closed, what waits is looked at again.
    void tablesChanged();
    // No planner for a while: every server may be cold, budgets shrink.
    void stranded(bool is);
    // Serves on until the platform has stopped sending, finishes what is under way, then calls `done`;
    // shortly before `grace` ends in any case.
    void terminate(std::function<void()> done);
    // Since the last call.
    proto::Sums takeSums(Micros now);

    // Ports listened on (tests let the system choose).
    [[nodiscard]] unsigned short frontPort() const;
    [[nodiscard]] unsigned short readinessPort() const;

private:
    class Works;
    std::shared_ptr<Works> works_;
};

}  // namespace marldale::sluice
