#include "program/check.h"

#include <ostream>

#include "program/settings.h"
#include "protocol/config.h"
#include "transport/address.h"

namespace marldale::program {
namespace {

using settings::Problem;

void checkConfig(const std::string& path, const std::string& text, std::vector<Problem>& problems) {
    std::vector<std::string> wrong;
    const protocol::Config config = protocol::parseConfig(text, &wrong);
    const auto address = [&wrong](const char* what, const std::string& value) {
        if (!value.empty() && !transport::parseAddress(value)) {
            wrong.push_back(std::string(what) + " is no address: " + value.substr(0, 60));
        }
    };
    address("listen", config.listen);
    address("discovery", config.discovery);
    address("relay.address", config.relay);
    if (config.known.unreadable > 0) {
        wrong.push_back(std::to_string(config.known.unreadable) + " entries of the known list can't be read");
    }
    for (std::string& text : wrong) problems.push_back({path, 0, std::move(text)});
}

bool looksLikeJson(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

void checkFile(const std::string& path, std::vector<Problem>& problems) {
    std::string text;
    if (!settings::readFile(path, text, problems)) return;
    if (looksLikeJson(text)) return checkConfig(path, text, problems);
    (void)readOwnSettings(path, problems);
}

}  // namespace

int check(const CommandLine& asked, std::ostream& out) {
    if (asked.keys) {
        OwnSettings own;
        out << schemaOf(own).table();
        return 0;
    }
    std::vector<Problem> problems;
    std::size_t files = asked.files.size();
    if (!asked.config.empty()) {
        ++files;
        std::string text;
        if (settings::readFile(asked.config, text, problems)) checkConfig(asked.config, text, problems);
    }
    if (!asked.settings.empty()) {
        ++files;
        (void)readOwnSettings(asked.settings, problems);
    }
    for (const std::string& path : asked.files) checkFile(path, problems);
    if (files == 0) {
        out << "nothing to check: name files, or set RELAY_CONFIG or MARLDALE_SETTINGS\n";
        return 2;
    }
    for (const Problem& problem : problems) out << problem.shown() << '\n';
    out << files << (files == 1 ? " file, " : " files, ") << problems.size()
        << (problems.size() == 1 ? " problem\n" : " problems\n");
    return problems.empty() ? 0 : 1;
}

}  // namespace marldale::program
