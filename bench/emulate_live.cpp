// A scenario file in the model and with the daemon over loopback sockets, in real time: emulate_live FILE
// [NAME=VALUE ...]. Exits with 1 if it can't be played, 2 if the file is wrong, 3 if a rule is broken.
#include <algorithm>
#include <cstdio>
#include <exception>

#include "standin/live_table.h"

int main(int count, char** words) {
    if (count < 2) {
        std::fputs("emulate_live SCENARIO [NAME=VALUE ...]\n", stderr);
        return 2;
    }
    try {
        marldale::emulator::Parameters parameters;
        for (int i = 2; i < count; ++i) {
            const std::string word = words[i];
            const auto at = word.find('=');
            if (at == std::string::npos || at == 0) throw std::invalid_argument(word + " is no NAME=VALUE");
            parameters[word.substr(0, at)] = word.substr(at + 1);
        }
        std::vector<marldale::settings::Problem> problems;
        const auto scenario = marldale::emulator::readScenario(words[1], parameters, problems);
        for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.shown().c_str());
        if (!problems.empty()) return 2;
        std::printf("%s: %.0f s in real time\n", scenario.name.c_str(),
                    static_cast<double>(scenario.run.duration) / 1e6);
        const auto sides = marldale::standin::besideTheModel(scenario);
        marldale::standin::show(sides);
        const bool kept =
            std::all_of(sides.begin(), sides.end(), [](const auto& s) { return s.broken == 0; });
        return kept ? 0 : 3;
    } catch (const std::invalid_argument& e) {
        std::fprintf(stderr, "emulate_live: %s\n", e.what());
        return 2;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "emulate_live: %s\n", e.what());
        return 1;
    }
}
