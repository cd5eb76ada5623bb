// The schema of a configuration's JSON text, in two equivalent forms: a handwritten check, which costs a few
// percent of the time for parsing the text, and RapidJSON's validator with a JSON schema, which reports where
// an invalid text violates it. No I/O.
#pragma once

#include <rapidjson/document.h>

#include <string>

namespace marldale::configuration {

/// Returns whether the document matches the schema, by the handwritten check.
[[nodiscard]] bool matchesSchema(const rapidjson::Value& document);

/// Checks the document by RapidJSON's validator. Returns an empty string if it matches, otherwise the
/// location and the violated rule.
[[nodiscard]] std::string schemaViolation(const rapidjson::Value& document);

}  // namespace marldale::configuration
