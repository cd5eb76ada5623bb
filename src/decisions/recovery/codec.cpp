// Encoding and decoding of handovers.
#include "recovery/codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <bit>
#include <cmath>
#include <map>

#include "bytes/varint.h"

namespace marldale::recovery {
namespace {

using bytes::fixedAt;
using bytes::putFixed;
using bytes::putText;
using bytes::putVar;
using bytes::Reader;

constexpr std::string_view kMagic = "MRLK";
constexpr std::size_t kHeaderBytes = 24;
constexpr std::uint32_t kFormatVersion = 1;
// Limits of a handover that is read; anything larger is rejected.
constexpr std::size_t kMaxTextBytes = 256, kMaxFacts = 200000, kMaxLoadValues = 64;
// Section kinds. 1 and 2 were used by earlier formats of the sums and the list.
constexpr std::uint64_t kSumsSection = 3, kListedSection = 4, kDemandSection = 5;
constexpr int kZstdLevel = 3;

// Assigns an index to each distinct name, so that it is written only once.
class NameTable {
public:
    std::uint64_t indexOf(const std::string& name) {
        const auto [entry, inserted] = indices_.try_emplace(name, indices_.size());
        if (inserted) putText(text_, name);
        return entry->second;
    }
    [[nodiscard]] std::string section() const {
        std::string out;
        putVar(out, indices_.size());
        return out + text_;
    }

private:
    std::map<std::string, std::uint64_t> indices_;
    std::string text_;
};

void putSection(std::string& out, std::uint64_t kind, const std::string& content) {
    putVar(out, kind);
    putText(out, content);
}

std::string encodePlain(const Handover& handover) {
    NameTable names;
    std::string sums, listed, demand;
    putVar(sums, handover.sums.size());
    for (const SumFact& f : handover.sums) {
        for (const std::string* name : {&f.origin, &f.server, &f.zone}) putVar(sums, names.indexOf(*name));
        putVar(sums, static_cast<std::uint64_t>(f.bootMs));
        putVar(sums, f.version.incarnation);
        putVar(sums, f.version.sequence);
        putVar(sums, static_cast<std::uint64_t>(f.age));
        putVar(sums, f.tries);
        putVar(sums, f.failed);
        putVar(sums, static_cast<std::uint64_t>(f.mean));
        putVar(sums, static_cast<std::uint64_t>(f.failsFor));
        putVar(sums, f.load.size());
        for (const auto& [name, value] : f.load) {
            putVar(sums, names.indexOf(name));
            putFixed<std::uint64_t>(sums, std::bit_cast<std::uint64_t>(value));
        }
    }
    putVar(listed, handover.listed.size());
    for (const ListedFact& f : handover.listed) {
        putVar(listed, names.indexOf(f.server));
        putVar(listed, f.version);
        putVar(listed, static_cast<std::uint64_t>(f.state));
        putVar(listed, static_cast<std::uint64_t>(f.bootMs));
        putVar(listed, static_cast<std::uint64_t>(f.since));
    }
    putVar(demand, handover.demand.size());
    for (const DemandFact& f : handover.demand) {
        for (const std::string* name : {&f.origin, &f.zone, &f.klass}) putVar(demand, names.indexOf(*name));
        putVar(demand, f.version.incarnation);
        putVar(demand, f.version.sequence);
        putVar(demand, static_cast<std::uint64_t>(f.age));
        putFixed<std::uint64_t>(demand, std::bit_cast<std::uint64_t>(f.rate));
        putVar(demand, f.proxies);
    }
    std::string out;
    putText(out, handover.from);
    putText(out, names.section());
    putSection(out, kSumsSection, sums);
    putSection(out, kListedSection, listed);
    putSection(out, kDemandSection, demand);
    return out;
}

bool readNames(std::string_view section, std::vector<std::string>& names) {
    Reader in(section, kMaxTextBytes);
    const std::uint64_t count = in.var();
    if (count > section.size()) return false;
    for (std::uint64_t i = 0; i < count && in.good(); ++i) names.emplace_back(in.text());
    return in.good() && in.empty();
}

bool readName(Reader& in, const std::vector<std::string>& names, std::string& out) {
    const std::uint64_t index = in.var();
    if (index >= names.size()) return false;
    out = names[index];
    return true;
}

// Infinities and NaN are read as 0.
double readDouble(Reader& in) {
    const double out = std::bit_cast<double>(in.fixed());
    return std::isfinite(out) ? out : 0;
}

bool readSums(std::string_view section, const std::vector<std::string>& names, Handover& out) {
    Reader in(section, kMaxTextBytes);
    const std::uint64_t count = in.var();
    if (count > kMaxFacts) return false;
    for (std::uint64_t i = 0; i < count && in.good(); ++i) {
        SumFact f;
        for (std::string* name : {&f.origin, &f.server, &f.zone}) {
            if (!readName(in, names, *name)) return false;
        }
        f.bootMs = static_cast<std::int64_t>(in.var());
        f.version.incarnation = in.var();
        f.version.sequence = in.var();
        f.age = static_cast<Micros>(in.var());
        f.tries = static_cast<std::uint32_t>(in.var());
        f.failed = static_cast<std::uint32_t>(in.var());
        f.mean = static_cast<Micros>(in.var());
        f.failsFor = static_cast<Micros>(in.var());
        const std::uint64_t loads = in.var();
        if (loads > kMaxLoadValues) return false;
        for (std::uint64_t l = 0; l < loads && in.good(); ++l) {
            std::string name;
            if (!readName(in, names, name)) return false;
            f.load[name] = readDouble(in);
        }
        if (in.good()) out.sums.push_back(std::move(f));
    }
    return in.good() && in.empty();
}

bool readListed(std::string_view section, const std::vector<std::string>& names, Handover& out) {
    Reader in(section, kMaxTextBytes);
    const std::uint64_t count = in.var();
    if (count > kMaxFacts) return false;
    for (std::uint64_t i = 0; i < count && in.good(); ++i) {
        ListedFact f;
        if (!readName(in, names, f.server)) return false;
        f.version = in.var();
        const std::uint64_t state = in.var();
        f.bootMs = static_cast<std::int64_t>(in.var());
        f.since = static_cast<Micros>(in.var());
        // A state that this version does not know is read as the most restrictive one.
        f.state = state <= 2 ? static_cast<ServerState>(state) : ServerState::gone;
        if (in.good()) out.listed.push_back(std::move(f));
    }
    return in.good() && in.empty();
}

bool readDemand(std::string_view section, const std::vector<std::string>& names, Handover& out) {
    Reader in(section, kMaxTextBytes);
    const std::uint64_t count = in.var();
    if (count > kMaxFacts) return false;
    for (std::uint64_t i = 0; i < count && in.good(); ++i) {
        DemandFact f;
        for (std::string* name : {&f.origin, &f.zone, &f.klass}) {
            if (!readName(in, names, *name)) return false;
        }
        f.version.incarnation = in.var();
        f.version.sequence = in.var();
        f.age = static_cast<Micros>(in.var());
        f.rate = readDouble(in);
        f.proxies = static_cast<std::uint32_t>(in.var());
        if (in.good()) out.demand.push_back(std::move(f));
    }
    return in.good() && in.empty();
}

}  // namespace

bool decodePlain(std::string_view plain, Handover& out) {
    Reader in(plain, kMaxHandoverBytes);
    out.from = std::string(in.text().substr(0, kMaxTextBytes));
    std::vector<std::string> names;
    if (!readNames(in.text(), names)) return false;
    while (in.good() && !in.empty()) {
        const std::uint64_t kind = in.var();
        const std::string_view section = in.text();
        if (kind == kSumsSection && !readSums(section, names, out)) return false;
        if (kind == kListedSection && !readListed(section, names, out)) return false;
        if (kind == kDemandSection && !readDemand(section, names, out)) return false;
    }
    return in.good();
}

std::string encode(const Handover& handover) {
    const std::string plain = encodePlain(handover);
    std::string compressed(ZSTD_compressBound(plain.size()), 0);
    compressed.resize(
        ZSTD_compress(compressed.data(), compressed.size(), plain.data(), plain.size(), kZstdLevel));
    std::string out(kMagic);
    putFixed<std::uint32_t>(out, kFormatVersion);
    putFixed<std::uint32_t>(out, static_cast<std::uint32_t>(plain.size()));
    putFixed<std::uint32_t>(out, static_cast<std::uint32_t>(compressed.size()));
    putFixed<std::uint64_t>(out, XXH64(compressed.data(), compressed.size(), 0));
    return out + compressed;
}

std::optional<Handover> decode(std::string_view bytes, std::string& error) {
    if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) {
        error = "not a knowledge handover";
        return std::nullopt;
    }
    const auto plainSize = fixedAt<std::uint32_t>(bytes, 8),
               compressedSize = fixedAt<std::uint32_t>(bytes, 12);
    const std::string_view compressed = bytes.substr(kHeaderBytes);
    if (compressedSize != compressed.size() || plainSize > kMaxHandoverBytes ||
        compressedSize > kMaxHandoverBytes ||
        XXH64(compressed.data(), compressed.size(), 0) != fixedAt<std::uint64_t>(bytes, 16)) {
        error = "truncated or corrupt";
        return std::nullopt;
    }
    std::string plain(plainSize, 0);
    const std::size_t size =
        ZSTD_decompress(plain.data(), plain.size(), compressed.data(), compressed.size());
    Handover out;
    if (ZSTD_isError(size) != 0 || size != plain.size() || !decodePlain(plain, out)) {
        error = "unreadable content of format version " + std::to_string(fixedAt<std::uint32_t>(bytes, 4));
        return std::nullopt;
    }
    return out;
}

}  // namespace marldale::recovery
