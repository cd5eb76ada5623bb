// Parsing of untrusted JSON: any nesting depth, and otherwise the same texts as RapidJSON's default parser.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "gateway/json/json.h"

namespace marldale::json {
namespace {

constexpr std::size_t kManyLevels = 1000000;

std::string repeated(const std::string& text, std::size_t count) {
    std::string out;
    for (std::size_t k = 0; k < count; ++k) out += text;
    return out;
}

std::string written(const rapidjson::Document& document) {
    rapidjson::StringBuffer out;
    rapidjson::Writer<rapidjson::StringBuffer> writer(out);
    document.Accept(writer);
    return out.GetString();
}

// The document as text; "invalid" if the text is refused.
std::string parsed(const std::string& text) {
    std::string buffer;
    rapidjson::Document document;
    return parse(text, buffer, document).ok() ? written(document) : "invalid";
}

std::string parsedByDefaultParser(std::string text) {
    rapidjson::Document document;
    document.ParseInsitu<rapidjson::kParseValidateEncodingFlag>(text.data());
    return document.HasParseError() ? "invalid" : written(document);
}

std::string mutated(std::string text, std::mt19937& random) {
    constexpr std::string_view kOdd = "[]{}\",:\\u0\xff\xc3 -.eE9tn";
    for (auto k = 1 + random() % 3; k > 0; --k) {
        const std::size_t at = random() % text.size();
        const char odd = kOdd[random() % kOdd.size()];
        switch (random() % 3) {
            case 0: text[at] = odd; break;
            case 1: text.insert(at, 1, odd); break;
            default: text.erase(at, 1); break;
        }
        if (text.empty()) return "x";
    }
    return text;
}

}  // namespace

// Guards against an overflow of the stack by a text that nests deeply.
TEST_CASE("JSON of any depth is parsed or refused without a deep stack", "[json]") {
    for (const std::string open : {"[", "{\"a\":", "[{\"a\":"})
        CHECK(parsed(repeated(open, kManyLevels)) == "invalid");
    CHECK(parsed(repeated("[", kManyLevels) + repeated("]", kManyLevels - 1)) == "invalid");
    CHECK(parsed(repeated("[", kManyLevels) + repeated("]", kManyLevels)) != "invalid");
    CHECK(parsed(R"({"a":1,"b":)" + repeated(R"({"c":)", kManyLevels) + "0" + repeated("}", kManyLevels) +
                 R"(,"d":2})")
              .ends_with(R"(,"d":2})"));
}

TEST_CASE("A container nested deeper than the limit becomes null, and all beside it is kept", "[json]") {
    const std::string open(kMaxDepth, '['), close(kMaxDepth, ']');
    CHECK(parsed(open + "1,2" + close) == open + "1,2" + close);
    CHECK(parsed(open + R"(1,[2,{"a":[3]},"b"],4,{"c":5},6)" + close) == open + "1,null,4,null,6" + close);
    CHECK(parsed(open + R"([2,{"a":[3},"b"])" + close) == "invalid");
}

TEST_CASE("Texts up to the depth limit are parsed as by the default parser", "[json]") {
    const std::string text =
        R"({"version":7,"built_on":5,"rate":-1.5e3,"note":"a\u00e9\\ \"","list":[{"a":[1,[2,{"b":null}]]},true,18446744073709551615]})";
    std::mt19937 random(1);
    CHECK(parsed(text) == parsedByDefaultParser(text));
    for (int k = 0; k < 20000; ++k) {
        const std::string changed = mutated(text, random);
        INFO(changed);
        REQUIRE(parsed(changed) == parsedByDefaultParser(changed));
    }
}

TEST_CASE("UTF-8 is told from other bytes", "[json]") {
    using namespace std::string_literals;
    for (const std::string& good : {""s, "a"s, "a\0b"s, "\u00e9\u20ac\U0001F600"s}) CHECK(isUtf8(good));
    for (const std::string& bad :
         {"\xff"s, "a\xc3"s, "\xc3("s, "\xe2\x82"s, "\xc0\x80"s, "\xed\xa0\x80"s, "\xf5\x80\x80\x80"s}) {
        INFO(bad);
        CHECK_FALSE(isUtf8(bad));
    }
}

}  // namespace marldale::json
