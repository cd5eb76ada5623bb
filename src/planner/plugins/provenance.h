// Where a hook's text comes from: read once, as bytes; what is hashed and signed is what runs.
#pragma once

#include <string>
#include <string_view>

namespace marldale::plugins {

inline constexpr std::size_t kTextBytesMost = std::size_t{64} << 10U;  // of a hook

// A regular file's bytes; throws std::runtime_error with the reason. A file that changes while it is read is
// not taken.
[[nodiscard]] std::string readText(const std::string& path);

[[nodiscard]] std::string sha256(std::string_view bytes);  // hexadecimal

// Whether `signature` (64 bytes) is the Ed25519 signature of `bytes` by the key in this PEM file. Throws
// std::runtime_error if the key can't be read.
[[nodiscard]] bool isSigned(std::string_view bytes, std::string_view signature, const std::string& keyFile);

// The text, if it is what the settings want: `sha256` and `publicKey` may be empty. Throws
// std::runtime_error.
[[nodiscard]] std::string trustedText(const std::string& path, const std::string& hash,
                                      const std::string& publicKey);

}  // namespace marldale::plugins
