// Whole imports of small files kept beside the tests, compared line for line. MARLDALE_GOLDEN_WRITE=1 writes
// them anew.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

#include "sources/importer.h"

namespace marldale::sources {
namespace {

const std::string kFolder = MARLDALE_GOLDEN;

std::string shownImport(const std::string& name, const std::string& format) {
    ImportAsk ask;
    std::vector<settings::Problem> problems;
    ask.settings = readImportSettings(kFolder + "/rules.ini", problems);
    EXPECT_TRUE(problems.empty());
    ask.settings.format = format;
    ask.files = {kFolder + "/" + name};
    std::ostringstream out;
    ask.onBad = [&](const BadEntry& b) {
        out << "bad " << b.place.line << ':' << b.place.column << " at " << b.place.offset << '+'
            << b.place.bytes << ": " << b.why << ": " << b.excerpt << '\n';
    };
    ask.onEntry = [&](const trace::Entry& e, const std::string& className) {
        char when[40];
        out << shown(e.at, when) << ' ' << className << ' ' << e.method << ' ' << e.host << e.path << ' '
            << e.answer.status << ' ' << attempts::name(e.answer.ended) << ' ' << e.answer.bytes << " took "
            << e.took << " wish " << e.chain << '.' << e.number << (e.coarse ? " coarse" : "")
            << (e.upstreamTries > 0 ? " upstreams " + std::to_string(e.upstreamTries) : "") << '\n';
    };
    const ImportResult result = importFiles(ask);
    EXPECT_TRUE(result.addsUp());
    const FileTally& f = result.files[0];
    out << f.read << " read, " << f.taken << " taken, " << f.bad << " bad, " << f.allLeftOut()
        << " left out, " << f.readBytes << " bytes\n";
    for (const std::string& words : f.blind) out << "can't tell: " << words << '\n';
    return out.str();
}

void compare(const std::string& name, const std::string& format) {
    const std::string got = shownImport(name, format), path = kFolder + "/" + name + ".txt";
    if (std::getenv("MARLDALE_GOLDEN_WRITE") != nullptr) std::ofstream(path) << got;
    std::ifstream in(path);
    const std::string expected{std::istreambuf_iterator<char>(in), {}};
    EXPECT_FALSE(expected.empty());
    EXPECT_EQ(got, expected);
}

TEST(Golden, CombinedLogWithWholeSecondsEscapesAndACutEnd) { compare("combined.log", "combined"); }
TEST(Golden, NginxLogWithIdsAndUpstreams) {
    compare(
        "nginx.log",
        "$remote_addr $time_iso8601 $msec \"$request\" $status $body_bytes_sent $request_time $request_id "
        "\"$upstream_response_time\"");
}
TEST(Golden, HarWithARedirectABreakAndABadStamp) { compare("page.har", "combined"); }

}  // namespace
}  // namespace marldale::sources
