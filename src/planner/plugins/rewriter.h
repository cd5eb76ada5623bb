// The list and the levels as the module is told them while hooks' wishes hold. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plugins/guard.h"
#include "routing/inputs.h"

namespace marldale::plugins {

class Rewriter {
public:
    Rewriter(std::vector<std::string> zones, std::vector<ClassView> classes, Micros warmUp)
        : zones_(std::move(zones)), classes_(std::move(classes)), warmUp_(warmUp) {}

    // A list on its way to the module, as it is to be told.
    [[nodiscard]] routing::Input list(routing::ListInput input);
    // What holds from now on: what the module is to be told of it. Nothing if nothing changes.
    [[nodiscard]] std::vector<routing::Input> hold(const Standing& standing);

    [[nodiscard]] FleetView fleet(std::int64_t wallNowUs) const;
    [[nodiscard]] const Standing& standing() const { return standing_; }

private:
    [[nodiscard]] protocol::CatalogEntry told(const protocol::CatalogEntry& entry) const;
    const std::vector<std::string> zones_;
    const std::vector<ClassView> classes_;
    const Micros warmUp_;
    std::map<std::string, protocol::CatalogEntry> list_;  // as it is
    std::uint64_t rev_ = 0;
    Standing standing_;
};

}  // namespace marldale::plugins
