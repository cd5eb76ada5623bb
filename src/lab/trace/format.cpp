#include "trace/format.h"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <cstring>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "bytes/varint.h"

namespace marldale::trace {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kMagic = "MRLTRACE", kBlockMagic = "MRLB";
constexpr std::uint32_t kVersion = 1;
constexpr int kZstdLevel = 3;
constexpr std::size_t kStringMost = std::size_t{64} << 10U;

using bytes::fixedAt;
using bytes::folded;
using bytes::putFixed;
using bytes::putVar;
using bytes::unfolded;

// Strings of a block, each written once.
class Strings {
public:
    void put(std::string& out, const std::string& text) {
        const auto [at, fresh] = known_.try_emplace(text, known_.size() + 1);
        putVar(out, fresh ? 0 : at->second);
        if (!fresh) return;
        const std::size_t size = std::min(text.size(), kStringMost);
        putVar(out, size);
        out.append(text, 0, size);
    }

private:
    std::unordered_map<std::string, std::size_t> known_;
};

std::uint64_t hashOf(std::string_view head, std::string_view packed) {
    XXH64_state_t state;
    XXH64_reset(&state, 0);
    XXH64_update(&state, head.data(), kBlockHead - sizeof(std::uint64_t));
    XXH64_update(&state, packed.data(), packed.size());
    return XXH64_digest(&state);
}

}  // namespace

std::string encodeHead(const Head& head) {
    Json json{{"classes", Json::array()}, {"blind", head.blind}};
    for (const TraceClass& c : head.classes)
        json["classes"].push_back({{"name", c.name}, {"effect", c.hasEffect}});
    const std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    std::string out(kMagic);
    putFixed<std::uint32_t>(out, kVersion);
    putFixed<std::uint32_t>(out, static_cast<std::uint32_t>(text.size()));
    putFixed<std::uint64_t>(out, XXH64(text.data(), text.size(), 0));
    return out + text;
}

std::optional<std::uint32_t> headText(std::string_view fixed, std::string& wrong) {
    if (fixed.size() < kHeadFixed || !fixed.starts_with(kMagic)) {
        wrong = "this is no trace";
        return std::nullopt;
    }
    if (const auto version = fixedAt<std::uint32_t>(fixed, 8); version != kVersion) {
        wrong = "this trace has version " + std::to_string(version) + "; this program reads version 1";
        return std::nullopt;
    }
    const auto size = fixedAt<std::uint32_t>(fixed, 12);
    if (size > kHeadMost) {
        wrong = "its head is too large";
        return std::nullopt;
    }
    return size;
}

std::optional<Head> decodeHead(std::string_view fixed, std::string_view text, std::string& wrong) {
    const auto size = headText(fixed, wrong);
    if (!size) return std::nullopt;
    if (text.size() != *size || XXH64(text.data(), text.size(), 0) != fixedAt<std::uint64_t>(fixed, 16)) {
        wrong = "its head is damaged";
        return std::nullopt;
    }
    const Json json = Json::parse(text, nullptr, false);
    Head out;
    wrong = "its head can't be read";
    if (!json.is_object() || !json.contains("classes") || !json["classes"].is_array()) return std::nullopt;
    for (const Json& c : json["classes"]) {
        if (!c.is_object() || !c.contains("name") || !c["name"].is_string()) return std::nullopt;
        const bool effect = c.contains("effect") && c["effect"].is_boolean() && c["effect"].get<bool>();
        out.classes.push_back({c["name"].get<std::string>(), effect});
    }
    if (out.classes.empty()) return std::nullopt;
    if (json.contains("blind") && json["blind"].is_array()) {
        for (const Json& b : json["blind"]) {
            if (b.is_string()) out.blind.push_back(b.get<std::string>());
        }
    }
    wrong.clear();
    return out;
}

std::string encodeBlock(const std::vector<Entry>& entries) {
    std::string plain;
    plain.reserve(entries.size() * 64);
    Strings strings;
    Micros before = 0;
    for (const Entry& e : entries) {
        putVar(plain, folded(e.at - before));
        before = e.at;
        putVar(plain, folded(e.took));
        putVar(plain, e.classIndex);
        putVar(plain, static_cast<std::uint64_t>(e.answer.status) * 16 +
                          static_cast<std::uint64_t>(e.answer.ended) * 2 + (e.coarse ? 1 : 0));
        putVar(plain, folded(e.answer.bytes));
        putFixed<std::uint64_t>(plain, e.client);
        putFixed<std::uint64_t>(plain, e.target);
        // Most have none.
        putVar(plain, e.requestId == 0 ? 0 : 1);
        if (e.requestId != 0) putFixed<std::uint64_t>(plain, e.requestId);
        putVar(plain, e.chain);
        putVar(plain, e.number);
        putVar(plain, e.upstreamTries);
        strings.put(plain, e.method);
        strings.put(plain, e.host);
        strings.put(plain, e.path);
    }
    std::string packed(ZSTD_compressBound(plain.size()), 0);
    packed.resize(ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), kZstdLevel));
    std::string out(kBlockMagic);
    putFixed<std::uint32_t>(out, static_cast<std::uint32_t>(packed.size()));
    putFixed<std::uint32_t>(out, static_cast<std::uint32_t>(plain.size()));
    putFixed<std::uint32_t>(out, static_cast<std::uint32_t>(entries.size()));
    putFixed<std::int64_t>(out, entries.empty() ? 0 : entries.front().at);
    putFixed<std::int64_t>(out, entries.empty() ? 0 : entries.back().at);
    putFixed<std::uint32_t>(out, 0);  // room for later
    putFixed<std::uint64_t>(out, hashOf(out, packed));
    return out + packed;
}

std::optional<BlockHead> decodeBlockHead(std::string_view bytes) {
    if (bytes.size() < kBlockHead || !bytes.starts_with(kBlockMagic)) return std::nullopt;
    const BlockHead out{fixedAt<std::uint32_t>(bytes, 4),  fixedAt<std::uint32_t>(bytes, 8),
                        fixedAt<std::uint32_t>(bytes, 12), fixedAt<std::int64_t>(bytes, 16),
                        fixedAt<std::int64_t>(bytes, 24),  fixedAt<std::uint64_t>(bytes, 36)};
    if (out.packed > kPackedMost || out.plain > kPlainMost || out.entries > out.plain) return std::nullopt;
    return out;
}

bool decodeEntries(std::string_view plain, std::uint32_t count, std::size_t classes,
                   std::vector<Entry>& out) {
    bytes::Reader in(plain, kStringMost);
    std::vector<std::string_view> strings;
    const auto text = [&](std::string& into) {
        const std::uint64_t which = in.var();
        if (which == 0) {
            strings.push_back(in.text());
            into = strings.back();
        } else if (which <= strings.size()) {
            into = strings[which - 1];
        } else {
            in.fail();
        }
    };
    Micros before = 0;
    for (std::uint32_t i = 0; i < count && in.good(); ++i) {
        Entry& e = out.emplace_back();
        before = static_cast<Micros>(static_cast<std::uint64_t>(before) +
                                     static_cast<std::uint64_t>(unfolded(in.var())));
        e.at = before;
        e.took = unfolded(in.var());
        e.classIndex = static_cast<std::uint32_t>(in.var());
        const std::uint64_t answer = in.var();
        e.answer.status = static_cast<int>(std::min<std::uint64_t>(answer / 16, 1000));
        const std::uint64_t ended = answer / 2 % 8;
        e.coarse = answer % 2 == 1;
        e.answer.bytes = unfolded(in.var());
        e.client = in.fixed();
        e.target = in.fixed();
        e.requestId = in.var() == 0 ? 0 : in.fixed();
        e.chain = in.var();
        e.number = static_cast<std::uint32_t>(in.var());
        e.upstreamTries = static_cast<std::uint32_t>(in.var());
        text(e.method);
        text(e.host);
        text(e.path);
        if (e.classIndex >= classes || ended > static_cast<std::uint64_t>(attempts::Ended::neverSent) ||
            e.answer.status > 599) {
            return false;
        }
        e.answer.ended = static_cast<attempts::Ended>(ended);
    }
    return in.good() && in.empty();
}

std::optional<std::vector<Entry>> decodeBlock(std::string_view head, std::string_view packed,
                                              std::size_t classes) {
    const auto block = decodeBlockHead(head);
    if (!block || packed.size() != block->packed || hashOf(head, packed) != block->hash) return std::nullopt;
    std::string plain(block->plain, 0);
    const std::size_t size = ZSTD_decompress(plain.data(), plain.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0 || size != plain.size()) return std::nullopt;
    std::vector<Entry> out;
    out.reserve(block->entries);
    if (!decodeEntries(plain, block->entries, classes, out)) return std::nullopt;
    return out;
}

}  // namespace marldale::trace
