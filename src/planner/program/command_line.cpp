#include "program/command_line.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <utility>

namespace marldale::program {
namespace {

constexpr int kMisunderstood = 2;
constexpr const char* kConfig = "RELAY_CONFIG";
constexpr const char* kSettings = "MARLDALE_SETTINGS";

void addFiles(CLI::App& app, CommandLine& out) {
    app.add_option("--config", out.config, "The platform's configuration, JSON")->envname(kConfig);
    app.add_option("--settings", out.settings, "marldale's own settings, INI; without it every default holds")
        ->envname(kSettings);
}

}  // namespace

std::optional<CommandLine> parseCommandLine(int argc, const char* const* argv, int& status) {
    CommandLine out;
    if (argc <= 1) {  // what the platform's `run` does: no word to understand
        for (const auto& [into, variable] : {std::pair{&out.config, kConfig}, {&out.settings, kSettings}}) {
            if (const char* value = std::getenv(variable)) *into = value;
        }
        return out;
    }
    CLI::App app("A central planner for a fleet of plain proxies.", "marldale");
    app.require_subcommand(0, 1);
    app.set_version_flag("--version", std::string(MARLDALE_VERSION));
    addFiles(app, out);
    auto* const serve =
        app.add_subcommand("serve", "Serve in the foreground until SIGTERM (what marldale alone does)");
    addFiles(*serve, out);
    auto* const check =
        app.add_subcommand("check", "Read every file given and tell all that is wrong; starts nothing");
    addFiles(*check, out);
    check->add_option("files", out.files,
                      "Further files: JSON is taken for configuration, anything else for settings");
    check->add_flag("--keys", out.keys, "Print every settings key as a table and end");
    app.add_subcommand("trace",
                       "Recorded traffic: import, show, stats, cut, merge, scale, classify (marldale_trace)");
    app.add_subcommand("replay", "Play recorded traffic against boxes (marldale_trace)");
    app.add_subcommand("knowledge", "Snapshots of what a planner knows: show, diff (marldale_trace)");
    app.add_subcommand("emulate", "Play an incident in virtual time (marldale_lab)");
    app.add_subcommand("experiment", "Play many and compare them (marldale_lab)");
    app.add_subcommand("proxy", "A proxy that forwards as the tables say (marldale_proxy)");
    app.add_subcommand("hook", "Hooks: check, test, load, list, disable, enable, rollback (marldale_hook)");
    const auto* const version = app.add_subcommand("version", "Print the version");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        status = app.exit(e) == 0 ? 0 : kMisunderstood;
        return std::nullopt;
    }
    if (check->parsed()) out.verb = Verb::check;
    if (version->parsed()) out.verb = Verb::version;
    return out;
}

}  // namespace marldale::program
