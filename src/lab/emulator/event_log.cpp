#include "emulator/event_log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <array>
#include <cstring>
#include <stdexcept>

namespace marldale::emulator {
namespace {

constexpr std::array<char, 8> kMagic = {'M', 'R', 'L', 'E', 'V', 'T', '1', '\n'};
constexpr int kLevel = 3;

struct CloseFile {
    void operator()(std::FILE* f) const { std::fclose(f); }
};
using File = std::unique_ptr<std::FILE, CloseFile>;

[[noreturn]] void failed(const std::string& path, const char* why) { throw std::runtime_error(path + why); }

}  // namespace

const char* name(Kind kind) {
    static const char* const kNames[] = {
        "wish",   "refused", "unpicked", "tried", "took",     "turned-away", "effect", "answered",
        "done",   "joined",  "left",     "holds", "shut-out", "ordered",     "queued", "messaged",
        "listed", "born",    "state",    "fell",  "planner",  "fault",       "turn"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(Kind::count_));
    return kind < Kind::count_ ? kNames[static_cast<std::size_t>(kind)] : "?";
}

const char* name(Outcome outcome) {
    static const char* const kNames[] = {"served", "failed", "never ran", "no answer in time", "cancelled"};
    return kNames[static_cast<std::size_t>(outcome)];
}

const char* name(End end) {
    static const char* const kNames[] = {"in time",         "late",    "failed", "refused",
                                         "nothing to pick", "given up"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(End::count_));
    return kNames[static_cast<std::size_t>(end)];
}

std::string shown(const Event& e) {
    char text[200];
    std::snprintf(text, sizeof text, "%12.6f %-11s %8u %6u class %u value %g more %lld",
                  static_cast<double>(e.at) / 1e6, name(e.kind), e.subject, e.other, e.klass,
                  static_cast<double>(e.value), static_cast<long long>(e.more));
    return text;
}

struct EventLog::State {
    XXH3_state_t* hash = XXH3_createState();
    File file;
    std::string path;
    ZSTD_CStream* zstd = nullptr;
    std::vector<char> out;
    ~State() {
        XXH3_freeState(hash);
        if (zstd != nullptr) ZSTD_freeCStream(zstd);
    }
    void write(const void* bytes, std::size_t size, ZSTD_EndDirective how) {
        ZSTD_inBuffer in{bytes, size, 0};
        std::size_t left = 0;
        do {
            ZSTD_outBuffer to{out.data(), out.size(), 0};
            left = ZSTD_compressStream2(zstd, &to, &in, how);
            if (ZSTD_isError(left) != 0 || std::fwrite(out.data(), 1, to.pos, file.get()) != to.pos) {
                failed(path, ": the event log can't be written");
            }
        } while (in.pos < in.size || (how == ZSTD_e_end && left > 0));
    }
};

EventLog::EventLog() : state_(std::make_unique<State>()) {
    XXH3_64bits_reset(state_->hash);
    buffer_.reserve(kBuffer);
}
EventLog::~EventLog() = default;

void EventLog::writeTo(const std::string& path) {
    state_->path = path;
    state_->file.reset(std::fopen(path.c_str(), "wb"));
    if (!state_->file) failed(path, ": the event log can't be written");
    state_->zstd = ZSTD_createCStream();
    ZSTD_CCtx_setParameter(state_->zstd, ZSTD_c_compressionLevel, kLevel);
    ZSTD_CCtx_setParameter(state_->zstd, ZSTD_c_checksumFlag, 1);
    state_->out.resize(ZSTD_CStreamOutSize());
    state_->write(kMagic.data(), kMagic.size(), ZSTD_e_continue);
}

void EventLog::flush() {
    const std::size_t size = buffer_.size() * sizeof(Event);
    XXH3_64bits_update(state_->hash, buffer_.data(), size);
    if (state_->file) state_->write(buffer_.data(), size, ZSTD_e_continue);
    count_ += buffer_.size();
    buffer_.clear();
}

void EventLog::finish() {
    flush();
    hash_ = XXH3_64bits_digest(state_->hash);
    if (!state_->file) return;
    state_->write(nullptr, 0, ZSTD_e_end);
    if (std::fflush(state_->file.get()) != 0) failed(state_->path, ": the event log can't be written");
    state_->file.reset();
}

void readLog(const std::string& path, const Reader& reader) {
    const File file(std::fopen(path.c_str(), "rb"));
    if (!file) failed(path, ": can't be read");
    const std::unique_ptr<ZSTD_DStream, decltype(&ZSTD_freeDStream)> zstd(ZSTD_createDStream(),
                                                                          &ZSTD_freeDStream);
    std::vector<char> packed(ZSTD_DStreamInSize()), plain(ZSTD_DStreamOutSize());
    std::vector<char> rest;
    bool headRead = false;
    std::size_t last = 1;
    for (;;) {
        const std::size_t got = std::fread(packed.data(), 1, packed.size(), file.get());
        if (got == 0) break;
        ZSTD_inBuffer in{packed.data(), got, 0};
        while (in.pos < in.size) {
            ZSTD_outBuffer out{plain.data(), plain.size(), 0};
            last = ZSTD_decompressStream(zstd.get(), &out, &in);
            if (ZSTD_isError(last) != 0) failed(path, ": is no event log, or damaged");
            rest.insert(rest.end(), plain.data(), plain.data() + out.pos);
            std::size_t at = 0;
            if (!headRead && rest.size() >= kMagic.size()) {
                if (std::memcmp(rest.data(), kMagic.data(), kMagic.size()) != 0)
                    failed(path, ": is no event log");
                headRead = true;
                at = kMagic.size();
            }
            for (; headRead && rest.size() - at >= sizeof(Event); at += sizeof(Event)) {
                Event event;
                std::memcpy(&event, rest.data() + at, sizeof event);
                if (event.kind >= Kind::count_) failed(path, ": holds a record of a later version");
                reader(event);
            }
            rest.erase(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }
    if (last != 0 || !rest.empty() || !headRead) failed(path, ": is cut");
}

}  // namespace marldale::emulator
