// Traces as files.
#pragma once

#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "trace/format.h"

namespace marldale::trace {

struct TraceError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct CloseFile {
    void operator()(std::FILE* f) const { std::fclose(f); }
};
using File = std::unique_ptr<std::FILE, CloseFile>;

// Writes beside the name and takes the name at the end: a trace under its name is whole.
class Writer {
public:
    Writer(std::string path, const Head& head);
    ~Writer();  // what was not finished goes
    Writer(const Writer&) = delete;
    Writer& operator=(const Writer&) = delete;

    // Starts must not go back. Throws TraceError.
    void add(Entry entry);
    void finish();
    [[nodiscard]] std::uint64_t entries() const { return entries_; }

private:
    void flush();
    void write(const std::string& bytes);
    std::string path_, part_;
    File file_;
    std::vector<Entry> block_;
    std::uint64_t entries_ = 0;
    Micros last_;
};

class Reader {
public:
    // Throws TraceError if it is no trace.
    explicit Reader(std::string path);

    [[nodiscard]] const Head& head() const { return head_; }
    // False at the end. A block that is damaged is skipped and counted; a cut one is the end.
    [[nodiscard]] bool next(Entry& entry);
    // Goes on with the first block that may hold an entry at or after `at`; entries before it may still come.
    void seek(Micros at);
    [[nodiscard]] std::uint64_t damagedBlocks() const { return damaged_; }
    [[nodiscard]] bool cut() const { return cut_; }
    // Hash of the head and of all blocks' heads: which trace it is.
    [[nodiscard]] std::uint64_t identity();

private:
    [[nodiscard]] bool block();
    [[nodiscard]] bool readHead(std::string& bytes, BlockHead& head);
    std::string path_;
    File file_;
    Head head_;
    long first_ = 0;  // where blocks begin
    std::vector<Entry> entries_;
    std::size_t at_ = 0;
    std::uint64_t damaged_ = 0;
    bool cut_ = false;
};

// Several traces as one, in the order of starts. Their classes are matched by name.
class Merger {
public:
    explicit Merger(const std::vector<std::string>& paths);
    [[nodiscard]] const Head& head() const { return head_; }
    [[nodiscard]] bool next(Entry& entry);
    [[nodiscard]] std::uint64_t damagedBlocks() const;

private:
    struct Source {
        std::unique_ptr<Reader> reader;
        std::vector<std::uint32_t> classes;  // of this one's, in the merged head
        Entry entry;
        bool has = false;
    };
    void advance(Source& source);
    Head head_;
    std::vector<Source> sources_;
};

}  // namespace marldale::trace
