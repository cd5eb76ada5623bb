#include "replay/journal_thread.h"

#include <exception>
#include <utility>

namespace marldale::replay {

JournalThread::JournalThread(transport::Loop& loop, JournalFile& file,
                             std::function<void(const std::string&)> failed)
    : loop_(loop), file_(file), failed_(std::move(failed)), thread_([this] { run(); }) {}

JournalThread::~JournalThread() {
    {
        const std::lock_guard lock(mutex_);
        over_ = true;
    }
    come_.notify_one();
    thread_.join();
}

void JournalThread::append(std::vector<attempts::JournalRecord> records, std::function<void()> stood) {
    {
        const std::lock_guard lock(mutex_);
        work_.push_back({std::move(records), std::move(stood)});
    }
    come_.notify_one();
}

// All that has come meanwhile is one write, and stands at once.
void JournalThread::run() {
    for (;;) {
        std::deque<Work> work;
        {
            std::unique_lock lock(mutex_);
            come_.wait(lock, [this] { return over_ || !work_.empty(); });
            if (work_.empty()) return;
            work.swap(work_);
        }
        std::vector<attempts::JournalRecord> records;
        bool mustStand = false;
        for (const Work& w : work) {
            records.insert(records.end(), w.records.begin(), w.records.end());
            mustStand = mustStand || w.stood != nullptr;
        }
        try {
            file_.append(records, mustStand);
        } catch (const std::exception& e) {
            loop_.post([this, why = std::string(e.what())] { failed_(why); });
            return;
        }
        for (Work& w : work) {
            if (w.stood) loop_.post(std::move(w.stood));
        }
    }
}

}  // namespace marldale::replay
