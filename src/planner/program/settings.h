// marldale's own settings: everything that the platform's configuration does not tell. One file, INI; without
// it every default holds, and every optional part is off.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "routing/front.h"
#include "routing/hooks.h"
#include "routing/keeper.h"
#include "settings/schema.h"

namespace marldale::program {

enum class LogForm { text, json };

struct LogSettings {
    LogForm form = LogForm::text;
    int linesMost = 10;               // of one topic
    std::chrono::seconds within{10};  // in this time
    bool operator==(const LogSettings&) const = default;
};

struct GrpcSettings {
    bool on = false;
    std::string module;          // empty: beside the program
    bool plainAnywhere = false;  // plain text on other addresses than loopback too
    routing::FrontSettings front;
};

struct KnowledgeSettings {
    bool on = false;     // a snapshot is kept, or knowledge is shared
    std::string module;  // empty: beside the program
    routing::KeeperSettings keeper;
};

struct HooksSettings {
    bool on = false;     // there is a hook, or a control socket through which one may come
    std::string module;  // empty: beside the program
    routing::HookSettings runner;
};

struct OwnSettings {
    LogSettings log;
    GrpcSettings grpc;
    KnowledgeSettings knowledge;
    HooksSettings hooks;
    std::map<std::string, std::string> said;  // what the file says, by `[section] key`
};

// Every key there is; what a file says is put into `into`, which must outlive the schema.
[[nodiscard]] settings::Schema schemaOf(OwnSettings& into);

// The settings of a file (empty: none), with everything that is wrong in it.
[[nodiscard]] OwnSettings readOwnSettings(const std::string& path, std::vector<settings::Problem>& problems);

// The keys that differ and hold only from the next start on.
[[nodiscard]] std::vector<std::string> changedForNextStart(const OwnSettings& before,
                                                           const OwnSettings& after);

}  // namespace marldale::program
