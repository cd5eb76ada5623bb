#include "gateway/json/json.h"

#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>

#include "absl/strings/str_cat.h"

namespace marldale::json {
namespace {

using rapidjson::SizeType;

enum class TooDeep { terminates, becomesNull };  // a container below `kMaxDepth`

// Passes the parser's events on to a document, down to `kMaxDepth`.
// NOLINTBEGIN(readability-identifier-naming): the parser calls the events by these names.
template <TooDeep tooDeep>
class DepthLimiter {
public:
    explicit DepthLimiter(rapidjson::Document& document) : document_(document) {}

    bool Null() { return skips() || document_.Null(); }
    bool Bool(bool value) { return skips() || document_.Bool(value); }
    bool Int(int value) { return skips() || document_.Int(value); }
    bool Uint(unsigned value) { return skips() || document_.Uint(value); }
    bool Int64(std::int64_t value) { return skips() || document_.Int64(value); }
    bool Uint64(std::uint64_t value) { return skips() || document_.Uint64(value); }
    bool Double(double value) { return skips() || document_.Double(value); }
    bool RawNumber(const char* text, SizeType length, bool copy) {
        return skips() || document_.RawNumber(text, length, copy);
    }
    bool String(const char* text, SizeType length, bool copy) {
        return skips() || document_.String(text, length, copy);
    }
    bool Key(const char* text, SizeType length, bool copy) {
        return skips() || document_.Key(text, length, copy);
    }
    bool StartObject() { return opens() && (skips() || document_.StartObject()); }
    bool EndObject(SizeType members) { return closesSkipped() || document_.EndObject(members); }
    bool StartArray() { return opens() && (skips() || document_.StartArray()); }
    bool EndArray(SizeType items) { return closesSkipped() || document_.EndArray(items); }

private:
    [[nodiscard]] bool skips() const { return depth_ > kMaxDepth; }
    // False ends the parsing.
    bool opens() {
        ++depth_;
        if (depth_ != kMaxDepth + 1) return true;
        return tooDeep == TooDeep::becomesNull && document_.Null();
    }
    bool closesSkipped() {
        const bool skipped = skips();
        --depth_;
        return skipped;
    }

    rapidjson::Document& document_;
    std::size_t depth_ = 0;  // of open containers
};
// NOLINTEND(readability-identifier-naming)

// Parses the buffer in place.
template <unsigned recursionFlag, TooDeep tooDeep>
rapidjson::ParseResult parseInPlace(std::string& buffer, rapidjson::Document& document) {
    constexpr unsigned kFlags =
        rapidjson::kParseInsituFlag | rapidjson::kParseValidateEncodingFlag | recursionFlag;
    rapidjson::Reader reader;
    rapidjson::InsituStringStream stream(buffer.data());
    const auto generate = [&reader, &stream](rapidjson::Document& into) {
        DepthLimiter<tooDeep> limiter(into);
        return !reader.Parse<kFlags>(stream, limiter).IsError();
    };
    document.Populate(generate);
    return {reader.GetParseErrorCode(), reader.GetErrorOffset()};
}

}  // namespace

absl::Status parse(std::string_view text, std::string& buffer, rapidjson::Document& document) {
    // The recursive parser is the faster one; the limiter ends it where the text is too deep for it.
    buffer = text;
    auto result = parseInPlace<rapidjson::kParseNoFlags, TooDeep::terminates>(buffer, document);
    if (result.Code() == rapidjson::kParseErrorTermination) {
        buffer = text;
        result = parseInPlace<rapidjson::kParseIterativeFlag, TooDeep::becomesNull>(buffer, document);
    }
    if (!result.IsError()) return absl::OkStatus();
    return absl::InvalidArgumentError(
        absl::StrCat("byte ", result.Offset(), ": ", rapidjson::GetParseError_En(result.Code())));
}

Schema::Schema(const char* text)
    : schema_([text] {
          rapidjson::Document document;
          document.Parse(text);
          return rapidjson::SchemaDocument(document);
      }()) {}

std::string Schema::violation(const rapidjson::Value& document) const {
    rapidjson::SchemaValidator validator(schema_);
    if (document.Accept(validator)) return {};
    rapidjson::StringBuffer place;
    validator.GetInvalidDocumentPointer().StringifyUriFragment(place);
    return absl::StrCat(place.GetString(), ": breaks the rule '", validator.GetInvalidSchemaKeyword(), "'");
}

bool isUtf8(std::string_view text) {
    rapidjson::MemoryStream stream(text.data(), text.size());
    struct {
        void Put(char /*character*/) {}  // NOLINT(readability-identifier-naming): RapidJSON's name
    } discarded;
    while (stream.Tell() < text.size()) {
        if (!rapidjson::UTF8<>::Validate(stream, discarded)) return false;
    }
    return stream.Tell() == text.size();
}

}  // namespace marldale::json
