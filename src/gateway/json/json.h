// Parsing of JSON texts that come from outside of the process: from servers, operators, peers or the disk.
//
// RapidJSON's default parser, its schema validator and its copying of values call themselves once for each
// nesting level, so a text that nests deeply enough overflows the stack. Here the stack that is needed does
// not depend on the text. No I/O.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/schema.h>

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace marldale::json {

/// The most nesting levels of a parsed document. No schema of the gateway names a member nested deeper.
constexpr unsigned kMaxDepth = 16;

/// Parses a text of any depth. `document` refers to `buffer`, a copy of the text, which must outlive it. An
/// object or array nested deeper than `kMaxDepth` levels must be valid JSON like the rest, and becomes null
/// in the document; a document is therefore safe for recursive algorithms. Returns InvalidArgument with the
/// offset in bytes if the text is not valid JSON in UTF-8.
[[nodiscard]] absl::Status parse(std::string_view text, std::string& buffer, rapidjson::Document& document);

/// A JSON schema and RapidJSON's validator for it.
class Schema {
public:
    /// Takes the schema's text, which must be valid.
    explicit Schema(const char* text);
    /// Returns the location and the rule that the document violates; empty if it matches.
    [[nodiscard]] std::string violation(const rapidjson::Value& document) const;

private:
    rapidjson::SchemaDocument schema_;
};

/// Returns whether the text is valid UTF-8, as string fields of protocol buffers must be.
[[nodiscard]] bool isUtf8(std::string_view text);

}  // namespace marldale::json
