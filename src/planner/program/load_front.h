// Loads a front's module when the settings ask for it.
#pragma once

#include <memory>
#include <string>

#include "routing/front.h"
#include "routing/hooks.h"
#include "routing/keeper.h"

namespace marldale::program {

// Where the module stands if the settings do not say: beside the program.
[[nodiscard]] std::string frontModuleBeside(const std::string& name);

// Throws std::runtime_error if the module can't be loaded, or the front can't be had. The module stays
// loaded.
[[nodiscard]] std::unique_ptr<routing::Front> loadFront(const std::string& module,
                                                        const routing::FrontSettings& settings,
                                                        routing::FrontHost host);
[[nodiscard]] std::unique_ptr<routing::Keeper> loadKeeper(const std::string& module,
                                                          const routing::KeeperSettings& settings,
                                                          routing::KeeperHost host);
[[nodiscard]] std::unique_ptr<routing::Hooks> loadHooks(const std::string& module,
                                                        const routing::HookSettings& settings,
                                                        routing::HookHost host);

}  // namespace marldale::program
