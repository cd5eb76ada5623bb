#include "trace/file.h"

#define XXH_INLINE_ALL
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>

namespace marldale::trace {
namespace {

[[noreturn]] void failed(const std::string& what) { throw TraceError(what + ": " + std::strerror(errno)); }

bool readAll(std::FILE* file, std::string& into, std::size_t size) {
    into.resize(size);
    const std::size_t got = std::fread(into.data(), 1, size, file);
    into.resize(got);
    return got == size;
}

}  // namespace

// ---- Writer ----

Writer::Writer(std::string path, const Head& head)
    : path_(std::move(path)),
      part_(path_ + ".part"),
      file_(std::fopen(part_.c_str(), "wb")),
      last_(std::numeric_limits<Micros>::min()) {
    if (!file_) failed("can't write " + part_);
    write(encodeHead(head));
}

Writer::~Writer() {
    if (!file_) return;
    file_.reset();
    std::remove(part_.c_str());
}

void Writer::write(const std::string& bytes) {
    if (std::fwrite(bytes.data(), 1, bytes.size(), file_.get()) != bytes.size())
        failed("can't write " + part_);
}

void Writer::flush() {
    if (block_.empty()) return;
    write(encodeBlock(block_));
    block_.clear();
}

void Writer::add(Entry entry) {
    if (entry.at < last_) throw TraceError("entries of a trace must not go back in time");
    last_ = entry.at;
    block_.push_back(std::move(entry));
    ++entries_;
    if (block_.size() >= kBlockEntries) flush();
}

void Writer::finish() {
    flush();
    if (std::fflush(file_.get()) != 0 || fsync(fileno(file_.get())) != 0) failed("can't write " + part_);
    std::FILE* const file = file_.release();
    if (std::fclose(file) != 0 || std::rename(part_.c_str(), path_.c_str()) != 0) {
        const int error = errno;
        std::remove(part_.c_str());
        errno = error;
        failed("can't write " + path_);
    }
}

// ---- Reader ----

Reader::Reader(std::string path) : path_(std::move(path)), file_(std::fopen(path_.c_str(), "rb")) {
    if (!file_) failed("can't open " + path_);
    std::string fixed, text, wrong;
    (void)readAll(file_.get(), fixed, kHeadFixed);
    const auto size = headText(fixed, wrong);
    if (size) (void)readAll(file_.get(), text, *size);
    auto head = size ? decodeHead(fixed, text, wrong) : std::nullopt;
    if (!head) throw TraceError(path_ + ": " + wrong);
    head_ = std::move(*head);
    first_ = std::ftell(file_.get());
}

bool Reader::readHead(std::string& bytes, BlockHead& head) {
    if (!readAll(file_.get(), bytes, kBlockHead)) {
        cut_ = cut_ || !bytes.empty();
        return false;
    }
    const auto read = decodeBlockHead(bytes);
    if (!read) {  // nobody knows where the next one begins
        cut_ = true;
        ++damaged_;
        return false;
    }
    head = *read;
    return true;
}

bool Reader::block() {
    std::string bytes, packed;
    BlockHead head;
    while (readHead(bytes, head)) {
        if (!readAll(file_.get(), packed, head.packed)) {
            cut_ = true;
            return false;
        }
        auto entries = decodeBlock(bytes, packed, head_.classes.size());
        if (!entries) {
            ++damaged_;
            continue;
        }
        entries_ = std::move(*entries);
        at_ = 0;
        if (!entries_.empty()) return true;
    }
    return false;
}

bool Reader::next(Entry& entry) {
    if (at_ == entries_.size() && !block()) return false;
    entry = std::move(entries_[at_++]);
    return true;
}

void Reader::seek(Micros at) {
    std::fseek(file_.get(), first_, SEEK_SET);
    entries_.clear();
    at_ = 0;
    cut_ = false;
    std::string bytes;
    BlockHead head;
    for (;;) {
        const long begin = std::ftell(file_.get());
        if (!readHead(bytes, head)) return;
        if (head.last >= at) {
            std::fseek(file_.get(), begin, SEEK_SET);
            return;
        }
        std::fseek(file_.get(), static_cast<long>(head.packed), SEEK_CUR);
    }
}

std::uint64_t Reader::identity() {
    const long here = std::ftell(file_.get());
    const bool cut = cut_;
    const auto damaged = damaged_;
    XXH64_state_t state;
    XXH64_reset(&state, 0);
    const std::string head = encodeHead(head_);
    XXH64_update(&state, head.data(), head.size());
    std::fseek(file_.get(), first_, SEEK_SET);
    std::string bytes;
    BlockHead block;
    while (readHead(bytes, block)) {
        XXH64_update(&state, bytes.data(), bytes.size());
        std::fseek(file_.get(), static_cast<long>(block.packed), SEEK_CUR);
    }
    std::fseek(file_.get(), here, SEEK_SET);
    cut_ = cut;
    damaged_ = damaged;
    return XXH64_digest(&state);
}

// ---- Merger ----

Merger::Merger(const std::vector<std::string>& paths) {
    for (const std::string& path : paths) {
        Source source;
        source.reader = std::make_unique<Reader>(path);
        for (const TraceClass& c : source.reader->head().classes) {
            auto at = std::find_if(head_.classes.begin(), head_.classes.end(),
                                   [&](const TraceClass& k) { return k.name == c.name; });
            if (at == head_.classes.end()) at = head_.classes.insert(head_.classes.end(), c);
            // Whoever says that a class has effects is believed.
            at->hasEffect = at->hasEffect || c.hasEffect;
            source.classes.push_back(static_cast<std::uint32_t>(at - head_.classes.begin()));
        }
        for (const std::string& words : source.reader->head().blind) {
            if (std::find(head_.blind.begin(), head_.blind.end(), words) == head_.blind.end()) {
                head_.blind.push_back(words);
            }
        }
        sources_.push_back(std::move(source));
    }
    for (Source& source : sources_) advance(source);
}

void Merger::advance(Source& source) {
    source.has = source.reader->next(source.entry);
    if (!source.has) return;
    source.entry.classIndex = source.classes[source.entry.classIndex];
    // Chains keep apart: each source has numbers of its own.
    const auto index = static_cast<std::uint64_t>(&source - sources_.data());
    if (source.entry.chain != 0) source.entry.chain = (source.entry.chain - 1) * sources_.size() + index + 1;
}

bool Merger::next(Entry& entry) {
    const auto first =
        std::min_element(sources_.begin(), sources_.end(), [](const Source& a, const Source& b) {
            if (a.has != b.has) return a.has;
            return a.has && a.entry.at < b.entry.at;
        });
    if (first == sources_.end() || !first->has) return false;
    entry = std::move(first->entry);
    advance(*first);
    return true;
}

std::uint64_t Merger::damagedBlocks() const {
    std::uint64_t out = 0;
    for (const Source& source : sources_) out += source.reader->damagedBlocks();
    return out;
}

}  // namespace marldale::trace
