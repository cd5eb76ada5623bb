// Results of experiments in a file (SQLite). A result stands whole or not at all, under its plan, the build
// that made it, and its cell: what was stopped goes on, and nothing half-written or foreign is taken for a
// result.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/cell.h"

struct sqlite3;

namespace marldale::lab {

struct RunId {
    std::string plan, text, version, build, host;  // text: of the plan's file; build: a hash of the program
};

class Store {
public:
    // Throws std::runtime_error, as all of it, with what failed and why.
    explicit Store(const std::string& path);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // The experiment of this plan and build; the same one where there is one already.
    [[nodiscard]] std::int64_t experiment(const RunId& id);
    void keep(std::int64_t experiment, const std::string& cell, const CellResult& result);
    [[nodiscard]] bool has(std::int64_t experiment, const std::string& cell);
    [[nodiscard]] std::map<std::string, CellResult> results(std::int64_t experiment);
    struct Listed {
        std::int64_t number = 0;
        RunId id;
        std::string begun;
        std::size_t results = 0;
    };
    [[nodiscard]] std::vector<Listed> list();

private:
    class Statement;
    void run(const char* sql);
    sqlite3* db_ = nullptr;
};

// Which of them is meant: the one of this number, or (0) the one of this plan and build. Throws
// std::runtime_error, which names others of the same plan, if there is none or it has no results.
[[nodiscard]] Store::Listed choose(const std::vector<Store::Listed>& from, const RunId& id,
                                   std::int64_t number);

// Hash of the running program's own file, and the machine's name.
[[nodiscard]] std::string buildHash();
[[nodiscard]] std::string hostName();

}  // namespace marldale::lab
