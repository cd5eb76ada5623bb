// When requests come, and of which class: open loop by a rate with a curve, or from recorded traffic.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"
#include "trace/file.h"

namespace marldale::emulator {

class Arrivals {
public:
    Arrivals(const Scenario& scenario);

    [[nodiscard]] bool fromTrace() const { return reader_ != nullptr; }
    // The usual rate of a relay, requests a second.
    [[nodiscard]] double usual(std::uint32_t relay) const { return rates_[relay]; }
    // When a relay is to be looked at next, and whether a request comes then. Rates may change meanwhile: no
    // look is further away than a quarter of a second, which for arrivals without memory changes nothing.
    struct Next {
        Micros at = 0;
        bool comes = false;
    };
    [[nodiscard]] Next next(std::uint32_t relay, Micros now);
    [[nodiscard]] std::uint32_t klass(std::uint32_t relay);

    // Factors of faults: of one relay, of a zone's, of all.
    void scale(std::uint32_t relay, double factor) { factors_[relay] *= factor; }
    void scaleAll(double factor) { all_ *= factor; }

    struct Recorded {
        Micros at = 0;
        std::uint32_t relay = 0, klass = 0;
    };
    // The next recorded request; first tries only, for clients here repeat by themselves.
    [[nodiscard]] std::optional<Recorded> recorded();

private:
    [[nodiscard]] double curve(Micros now) const;
    const Scenario& scenario_;
    std::vector<double> rates_, factors_;
    std::vector<Stream> streams_;
    std::vector<double> shares_;  // of classes, added up
    double all_ = 1;
    std::unique_ptr<trace::Reader> reader_;
    std::vector<std::uint32_t> classes_;  // the trace's, as ours
    std::optional<Micros> first_;
};

}  // namespace marldale::emulator
