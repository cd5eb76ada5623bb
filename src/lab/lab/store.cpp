#include "lab/store.h"

#define XXH_INLINE_ALL
#include <sqlite3.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace marldale::lab {
namespace {

[[noreturn]] void failed(sqlite3* db, const std::string& what) {
    throw std::runtime_error(what + ": " + (db == nullptr ? "no memory" : sqlite3_errmsg(db)));
}

constexpr const char* kTables =
    "CREATE TABLE IF NOT EXISTS experiment (number INTEGER PRIMARY KEY, plan TEXT NOT NULL, text TEXT NOT "
    "NULL,"
    " version TEXT NOT NULL, build TEXT NOT NULL, host TEXT NOT NULL, begun TEXT NOT NULL DEFAULT"
    " (strftime('%Y-%m-%dT%H:%M:%SZ', 'now')), UNIQUE (plan, text, build));"
    "CREATE TABLE IF NOT EXISTS result (experiment INTEGER NOT NULL REFERENCES experiment (number), cell "
    "TEXT NOT NULL,"
    " service REAL NOT NULL, broken INTEGER NOT NULL, whole TEXT NOT NULL, PRIMARY KEY (experiment, cell));";

}  // namespace

class Store::Statement {
public:
    Statement(sqlite3* db, const char* sql) : db_(db) {
        if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK)
            failed(db, "results can't be read");
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& with(const std::string& text) {
        sqlite3_bind_text(statement_, ++bound_, text.c_str(), static_cast<int>(text.size()),
                          SQLITE_TRANSIENT);
        return *this;
    }
    Statement& with(std::int64_t number) {
        sqlite3_bind_int64(statement_, ++bound_, number);
        return *this;
    }
    Statement& with(double number) {
        sqlite3_bind_double(statement_, ++bound_, number);
        return *this;
    }
    bool next() {
        const int code = sqlite3_step(statement_);
        if (code == SQLITE_ROW) return true;
        if (code != SQLITE_DONE) failed(db_, "results can't be kept");
        return false;
    }
    [[nodiscard]] std::string text(int column) const {
        const auto* out = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
        return out == nullptr
                   ? ""
                   : std::string(out, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
    }
    [[nodiscard]] std::int64_t number(int column) const { return sqlite3_column_int64(statement_, column); }

private:
    sqlite3* db_;
    sqlite3_stmt* statement_ = nullptr;
    int bound_ = 0;
};

Store::Store(const std::string& path) {
    if (sqlite3_open(path.c_str(), &db_) != SQLITE_OK) {
        const std::string why = db_ == nullptr ? "no memory" : sqlite3_errmsg(db_);
        sqlite3_close(db_);
        throw std::runtime_error(path + ": " + why);
    }
    sqlite3_busy_timeout(db_, 5000);
    try {
        run("PRAGMA journal_mode = WAL;");
        run(kTables);
    } catch (...) {
        sqlite3_close(db_);
        throw;
    }
}

Store::~Store() { sqlite3_close(db_); }

void Store::run(const char* sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) failed(db_, "the file of results");
}

std::int64_t Store::experiment(const RunId& id) {
    Statement(db_,
              "INSERT OR IGNORE INTO experiment (plan, text, version, build, host) VALUES (?, ?, ?, ?, ?)")
        .with(id.plan)
        .with(id.text)
        .with(id.version)
        .with(id.build)
        .with(id.host)
        .next();
    Statement find(db_, "SELECT number FROM experiment WHERE plan = ? AND text = ? AND build = ?");
    find.with(id.plan).with(id.text).with(id.build);
    if (!find.next()) throw std::runtime_error("the experiment can't be entered");
    return find.number(0);
}

void Store::keep(std::int64_t experiment, const std::string& cell, const CellResult& result) {
    Statement(
        db_,
        "INSERT OR REPLACE INTO result (experiment, cell, service, broken, whole) VALUES (?, ?, ?, ?, ?)")
        .with(experiment)
        .with(cell)
        .with(result.service)
        .with(static_cast<std::int64_t>(result.allBroken()))
        .with(toJson(result))
        .next();
}

bool Store::has(std::int64_t experiment, const std::string& cell) {
    Statement find(db_, "SELECT 1 FROM result WHERE experiment = ? AND cell = ?");
    return find.with(experiment).with(cell).next();
}

std::map<std::string, CellResult> Store::results(std::int64_t experiment) {
    std::map<std::string, CellResult> out;
    Statement all(db_, "SELECT cell, whole FROM result WHERE experiment = ? ORDER BY cell");
    all.with(experiment);
    while (all.next()) out[all.text(0)] = fromJson(all.text(1));
    return out;
}

std::vector<Store::Listed> Store::list() {
    std::vector<Listed> out;
    Statement all(db_,
                  "SELECT number, plan, text, version, build, host, begun, (SELECT COUNT(*) FROM result "
                  "WHERE experiment"
                  " = number) FROM experiment ORDER BY number");
    while (all.next()) {
        out.push_back({all.number(0),
                       {all.text(1), all.text(2), all.text(3), all.text(4), all.text(5)},
                       all.text(6),
                       static_cast<std::size_t>(all.number(7))});
    }
    return out;
}

Store::Listed choose(const std::vector<Store::Listed>& from, const RunId& id, std::int64_t number) {
    std::string others;
    for (const Store::Listed& e : from) {
        const bool samePlan = e.id.text == id.text;
        const bool meant = number != 0 ? e.number == number : samePlan && e.id.build == id.build;
        if (meant && !samePlan)
            throw std::runtime_error("experiment " + std::to_string(number) + " is of another plan");
        if (meant && e.results > 0) return e;
        if (samePlan && e.results > 0) {
            others += "; build " + e.id.build + " has " + std::to_string(e.results) + ": --experiment " +
                      std::to_string(e.number);
        }
    }
    throw std::runtime_error("there are no results of this plan and build: run it first" + others);
}

std::string buildHash() {
    std::ifstream file("/proc/self/exe", std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(file), {}};
    char out[20];
    std::snprintf(out, sizeof out, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(bytes.data(), bytes.size())));
    return out;
}

std::string hostName() {
    std::array<char, 256> name{};
    return gethostname(name.data(), name.size() - 1) == 0 ? name.data() : "?";
}

}  // namespace marldale::lab
