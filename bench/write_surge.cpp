// Writes a generated access log of a surge and the rules for it: LOG RULES SECONDS [SEED].
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "standin/surge_log.h"

int main(int argc, char** argv) {
    if (argc < 4) {
        std::fprintf(stderr, "usage: write_surge LOG RULES SECONDS [SEED]\n");
        return 2;
    }
    marldale::standin::SurgeSettings settings;
    settings.seconds = std::atoi(argv[3]);
    if (argc > 4) settings.seed = std::strtoull(argv[4], nullptr, 10);
    const auto log = marldale::standin::surge(settings);
    std::ofstream out(argv[1]), rules(argv[2]);
    for (const auto& line : log.lines) out << line.text << '\n';
    rules << marldale::standin::surgeRules(log);
    return out.flush() && rules.flush() ? 0 : 1;
}
