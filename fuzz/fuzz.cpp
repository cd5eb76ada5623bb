// Fuzzing of every reader of bytes (libFuzzer). FUZZ_NAME picks one; CMakeLists.txt makes a program for each.
// Each checks that what it reads is accounted for, beyond not crashing.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "attempts/circuit_breaker.h"
#include "attempts/journal.h"
#include "emulator/scenario.h"
#include "plugins/guard.h"
#include "plugins/wardrobe.h"
#include "proxy/body.h"
#include "proxy/order_book.h"
#include "proxy/order_text.h"
#include "proxy/slow_reader.h"
#include "proxy/table_snapshot.h"
#include "recovery/snapshot.h"
#include "sources/import_settings.h"
#include "sources/readers.h"
#include "trace/format.h"

namespace {

using namespace marldale;  // a program of its own

void must(bool holds) {
    if (!holds) std::abort();
}

struct Counting : sources::Sink {
    std::uint64_t bytes = 0;
    void entry(const sources::Place& place, const sources::Record& record) override {
        bytes += place.bytes;
        must(!record.method.empty() && record.answer.status >= 0 && record.answer.status <= 599);
        must(record.took >= -1 && record.answer.bytes >= -1);
    }
    void bad(const sources::Place& place, std::string_view why, std::string_view excerpt) override {
        bytes += place.bytes;
        must(!why.empty());
        for (const char c : sources::harmless(excerpt, place.column)) must(c >= 0x20 && c < 0x7f);
    }
    void leftOut(const sources::Place& place, sources::LeftOut) override { bytes += place.bytes; }
};

// Bytes that are taken for packed are another stream.
bool isPacked(std::string_view bytes) {
    return bytes.starts_with("\x1f\x8b") || bytes.starts_with("\x28\xb5\x2f\xfd");
}

[[maybe_unused]] void lines(std::string_view bytes, std::unique_ptr<sources::LineFormat> format) {
    auto source = sources::sourceOf(std::string(bytes));
    Counting sink;
    try {
        sources::LineReader(*source, *format, 0).read(sink);
    } catch (const sources::SourceError&) {
        must(isPacked(bytes));
        return;
    }
    must(isPacked(bytes) || sink.bytes == bytes.size());
}

[[maybe_unused]] std::unique_ptr<sources::LineFormat> formatOf(std::string_view text) {
    std::string wrong;
    auto format = sources::LogFormat::compile(text, wrong);
    must(format.has_value() == wrong.empty());
    return format ? sources::byFormat(std::move(*format)) : nullptr;
}

[[maybe_unused]] void har(std::string_view bytes) {
    auto source = sources::sourceOf(std::string(bytes));
    Counting sink;
    const sources::HarCounts counts = sources::readHar(*source, 0, sink);
    must(counts.bytes == sink.bytes);
    must(isPacked(bytes) || counts.bytes == bytes.size());
}

[[maybe_unused]] void traces(std::string_view bytes) {
    std::string wrong;
    const std::size_t fixed = std::min(bytes.size(), trace::kHeadFixed);
    (void)trace::decodeHead(bytes.substr(0, fixed), bytes.substr(fixed), wrong);
    std::vector<trace::Entry> entries;
    if (trace::decodeEntries(bytes, 64, 2, entries)) {
        const std::string again = trace::encodeBlock(entries);
        const auto back =
            trace::decodeBlock(again.substr(0, trace::kBlockHead), again.substr(trace::kBlockHead), 2);
        must(back && *back == entries);
    }
    if (bytes.size() > trace::kBlockHead) {
        (void)trace::decodeBlock(bytes.substr(0, trace::kBlockHead), bytes.substr(trace::kBlockHead), 2);
    }
}

[[maybe_unused]] void journal(std::string_view bytes) {
    const attempts::JournalRead read = attempts::readJournal(bytes);
    must(read.whole == read.records.size() * attempts::kJournalRecordBytes && read.whole <= bytes.size());
    must(read.torn || read.damaged || read.whole == bytes.size());
    attempts::EffectLedger ledger({});
    (void)attempts::restoreLedger(read.records, ledger);
    must(ledger.counts().open == 0);
}

[[maybe_unused]] void rules(std::string_view bytes) {
    std::vector<settings::Problem> problems;
    sources::ImportSettings into;
    sources::importSchema(into).take("f", settings::readIni("f", bytes, problems), problems);
    sources::Record record;
    record.target = "/a/b";
    must(into.rules.classOf(record) <= into.rules.classes.size());
}

[[maybe_unused]] void stamps(std::string_view bytes) {
    if (const auto stamp = sources::readAnyTime(bytes)) {
        char text[40];
        const auto back = sources::readIsoTime(sources::shown(stamp->at, text));
        must(back && back->at == stamp->at);
    }
    const auto wait = attempts::readRetryAfter(bytes, 0);
    must(!wait || (*wait >= 0 && *wait <= 3600 * 1000000LL));
}

// What is read of a peer or a file says the same once it is written again.
[[maybe_unused]] void handover(std::string_view bytes) {
    std::string wrong;
    recovery::Handover got;
    if (recovery::decodePlain(bytes, got)) {
        const auto back = recovery::decode(recovery::encode(got), wrong);
        must(back && *back == got);
    }
    const auto packed = recovery::decode(bytes, wrong);
    must(packed.has_value() || !wrong.empty());
    wrong.clear();
    const auto snapshot = recovery::decodeSnapshot(bytes, wrong);
    must(snapshot.has_value() || !wrong.empty());
}

[[maybe_unused]] void scenario(std::string_view bytes) {
    std::vector<settings::Problem> problems;
    const emulator::Scenario read = emulator::parseScenario("f", std::string(bytes), {}, problems);
    for (const auto& p : problems) must(!p.shown().empty());
    if (!problems.empty() || read.faults.empty()) return;
    std::string again;
    for (const emulator::Fault& f : read.faults) again += emulator::shown(f) + "\n";
    const std::string zones = [&] {
        std::string out;
        for (const std::string& z : read.fleet.zones) out += (out.empty() ? "" : ", ") + z;
        return out;
    }();
    const emulator::Scenario back =
        emulator::parseScenario("f", "[fleet]\nzones = " + zones + "\n[class x]\n" + again, {}, problems);
    must(problems.empty() && back.faults.size() == read.faults.size());
}

// A head against a slow and plain reading of it; its body in two splits.
[[maybe_unused]] void http(std::string_view bytes) {
    std::size_t length = 0;
    if (proxy::findHead(bytes, {}, length) || length == 0) return;
    proxy::RequestHead head;
    const std::string_view whole = bytes.substr(0, length);
    const auto wrong = proxy::readRequest(whole, {}, head);
    const auto plain = proxy::tests::readPlainly(std::string(whole));
    must(wrong.has_value() == !plain.has_value() || (wrong && wrong->status == 431));
    proxy::ResponseHead answer;
    (void)proxy::readResponse(whole, {}, "GET", answer);
    if (wrong) return;
    must(plain->chunked == (head.body.framing == proxy::Framing::chunked) &&
         plain->keepAlive == head.keepAlive);
    const std::string_view rest = bytes.substr(length);
    proxy::BodyReader one(head.body), two(head.body);
    std::string first, second;
    const std::size_t taken = one.feed(rest, [&](std::string_view piece) { first.append(piece); });
    std::size_t at = 0;
    while (at < rest.size() && !two.done() && two.bad() == nullptr)
        at += two.feed(rest.substr(at, 1), [&](std::string_view piece) { second.append(piece); });
    must((one.bad() != nullptr) == (two.bad() != nullptr) && one.done() == two.done());
    must(one.bad() != nullptr || (taken == at && first == second && one.trailers() == two.trailers()));
}

// Calls of a planner, a line each, to a book with room for little.
[[maybe_unused]] void orders(std::string_view bytes) {
    const proxy::BookLimits limits{8, 32, 8};
    proxy::OrderBook book({"a", "b"}, 7, limits);
    book.join();
    while (!bytes.empty()) {
        const auto end = std::min(bytes.find('\n'), bytes.size());
        const auto call = proxy::ordersOf(bytes.substr(0, end));
        const auto outcome = book.apply(call);
        must(outcome.taken <= call.size() && (outcome.taken == call.size()) == outcome.refused.empty());
        must(book.tables() <= limits.tables && book.lines() <= limits.lines);
        const proxy::Orders now = book.orders();
        must(now.shut.size() <= limits.shut && now.byClass.size() <= 2);
        for (const auto& [name, order] : now.byClass) {
            must(order.limit >= 0 && order.retryMode <= 3);
            for (const auto& [box, weight] : order.lines) must(weight > 0);
        }
        bytes.remove_prefix(std::min(end + 1, bytes.size()));
    }
}

[[maybe_unused]] void tables(std::string_view bytes) {
    std::string wrong;
    const auto as = [&](const std::string& whole) {
        const auto read = proxy::decodeTables(whole, wrong);
        must(read.has_value() || !wrong.empty());
        if (!read) return;
        const auto again = proxy::decodeTables(proxy::encode(*read), wrong);
        must(again && again->orders.byClass == read->orders.byClass &&
             again->orders.shut == read->orders.shut);
    };
    as(std::string(bytes));
    as(proxy::sealed(bytes));  // as if it had been written so
}

// What a worker says, and what a hook returns.
[[maybe_unused]] void wishes(std::string_view bytes) {
    const plugins::Json said = plugins::Json::parse(bytes, nullptr, false);
    if (said.is_discarded()) return;
    std::vector<plugins::Clip> clips;
    plugins::FleetView fleet;
    fleet.zones = {"a"};
    fleet.classes = {{"k", false}};
    for (const char* uid : {"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"})
        fleet.boxes.push_back({uid, "a", ServerState::ready, 1, true});
    const auto standing = plugins::guard({{"h", plugins::readWishes("h", said, clips)}}, fleet, {}, clips);
    must(standing.boxes.size() <= 8 && standing.levels.size() <= 1);
    for (const auto& [uid, box] : standing.boxes) must(box.factor >= 0.1 - 1e-9 && box.factor <= 1);
    for (const auto& row : plugins::readRowWishes("h", said, 3, clips)) must(row.row < 3);
    plugins::Wardrobe wardrobe(
        {}, [](const plugins::Json&) {}, [](const std::string& text) { must(!text.empty()); });
    wardrobe.workerStarted();
    wardrobe.offer("h", "text", "hash", 0);
    (void)wardrobe.hear(
        {{"said", "loaded"}, {"hook", "h"}, {"version", 1U}, {"good", true}, {"functions", {"on_tick"}}}, 0);
    wardrobe.asked(1, "on_tick", {}, 0);
    (void)wardrobe.hear(said, 1);
    (void)wardrobe.standing(fleet, 1);
    wardrobe.workerGone(2);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const std::string_view which = FUZZ_NAME;
    if (which == "log") lines(bytes, formatOf("combined"));
    if (which == "json") lines(bytes, sources::byJson({}));
    if (which == "har") har(bytes);
    if (which == "trace") traces(bytes);
    if (which == "journal") journal(bytes);
    if (which == "rules") rules(bytes);
    if (which == "stamp") stamps(bytes);
    if (which == "handover") handover(bytes);
    if (which == "scenario") scenario(bytes);
    if (which == "http") http(bytes);
    if (which == "orders") orders(bytes);
    if (which == "wishes") wishes(bytes);
    if (which == "tables") tables(bytes);
    if (which == "format") {  // a format in the first line, and lines to be read by it
        const auto end = std::min(bytes.find('\n'), bytes.size());
        if (auto format = formatOf(bytes.substr(0, end)))
            lines(bytes.substr(std::min(end + 1, bytes.size())), std::move(format));
    }
    return 0;
}
