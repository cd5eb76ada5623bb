// The journal on a thread of its own: a disk that takes its time holds back only what must stand on it.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "replay/journal_file.h"
#include "transport/loop.h"

namespace marldale::replay {

class JournalThread {
public:
    // `stood`, `failed`: in the loop's thread.
    JournalThread(transport::Loop& loop, JournalFile& file, std::function<void(const std::string&)> failed);
    ~JournalThread();  // once all that was given is written

    // In the order of the calls. `stood` is called once the records must not be lost any more; without it
    // they are written, and that is all.
    void append(std::vector<attempts::JournalRecord> records, std::function<void()> stood);

private:
    struct Work {
        std::vector<attempts::JournalRecord> records;
        std::function<void()> stood;
    };
    void run();
    transport::Loop& loop_;
    JournalFile& file_;
    const std::function<void(const std::string&)> failed_;
    std::mutex mutex_;
    std::condition_variable come_;
    std::deque<Work> work_;
    bool over_ = false;
    std::thread thread_;
};

}  // namespace marldale::replay
