// The journal of a replay on disk.
#pragma once

#include <string>
#include <vector>

#include "attempts/journal.h"

namespace marldale::replay {

enum class Sync : std::uint8_t {
    each,  // `begun` records are on the disk (fdatasync) before their requests go: a power cut loses none
    none,  // they are with the system: a killed replayer loses none, a machine that stops may
};

class JournalFile {
public:
    // Opens or begins it, and cuts a torn record off. Throws std::runtime_error: it can't be opened, it is
    // damaged, or another replayer has it.
    JournalFile(const std::string& path, Sync sync);
    ~JournalFile();
    JournalFile(const JournalFile&) = delete;
    JournalFile& operator=(const JournalFile&) = delete;

    [[nodiscard]] const std::vector<attempts::JournalRecord>& records() const { return read_.records; }
    // All of them, or std::runtime_error: then nothing of them may be relied on, and nothing may be sent.
    void append(const std::vector<attempts::JournalRecord>& records, bool mustStand);

private:
    std::string path_;
    Sync sync_;
    int fd_ = -1;
    attempts::JournalRead read_;
};

}  // namespace marldale::replay
