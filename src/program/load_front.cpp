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

std::unique_ptr<routing::Front> loadFront(const std::string& module, const routing::FrontSettings& settings,
                                          routing::FrontHost host) {
    void* const handle = dlopen(module.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (handle == nullptr) throw std::runtime_error(std::string("a front can't be loaded: ") + dlerror());
    void* const made = dlsym(handle, routing::kMakeFront);
    if (made == nullptr) throw std::runtime_error(module + " is no front of this program");
    return std::unique_ptr<routing::Front>(
        reinterpret_cast<routing::MakeFront>(made)(settings, std::move(host)));
}

}  // namespace marldale::program
