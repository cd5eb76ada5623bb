#include "program/load_front.h"

#include <dlfcn.h>

#include <filesystem>
#include <stdexcept>
#include <system_error>

namespace marldale::program {

std::string frontModuleBeside(const std::string& name) {
    std::error_code error;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    return (self.parent_path() / name).string();
}

namespace {

// What a module exports under a name; it stays loaded.
template <class Function>
Function exported(const std::string& module, const char* name, const std::string& what) {
    void* const handle = dlopen(module.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (handle == nullptr) throw std::runtime_error("a " + what + " can't be loaded: " + dlerror());
    void* const made = dlsym(handle, name);
    if (made == nullptr) throw std::runtime_error(module + " is no " + what + " of this program");
    return reinterpret_cast<Function>(made);
}

}  // namespace

std::unique_ptr<routing::Front> loadFront(const std::string& module, const routing::FrontSettings& settings,
                                          routing::FrontHost host) {
    const auto make = exported<routing::MakeFront>(module, routing::kMakeFront, "front");
    return std::unique_ptr<routing::Front>(make(settings, std::move(host)));
}

std::unique_ptr<routing::Keeper> loadKeeper(const std::string& module,
                                            const routing::KeeperSettings& settings,
                                            routing::KeeperHost host) {
    const auto make = exported<routing::MakeKeeper>(module, routing::kMakeKeeper, "keeper of knowledge");
    return std::unique_ptr<routing::Keeper>(make(settings, std::move(host)));
}

std::unique_ptr<routing::Hooks> loadHooks(const std::string& module, const routing::HookSettings& settings,
                                          routing::HookHost host) {
    const auto make = exported<routing::MakeHooks>(module, routing::kMakeHooks, "runner of hooks");
    return std::unique_ptr<routing::Hooks>(make(settings, std::move(host)));
}

}  // namespace marldale::program
