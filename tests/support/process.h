// The program as a process, for tests; MARLDALE_PROGRAM is its path.
#pragma once

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

namespace marldale::tests {

// One run of build/marldale with its environment and words, and all that it writes in a file.
class Process {
public:
    explicit Process(const std::string& config, const std::string& directory,
                     const std::map<std::string, std::string>& environment = {},
                     const std::vector<std::string>& words = {})
        : errors_(directory + "/stderr") {
        pid_ = fork();
        if (pid_ != 0) return;
        const int out = open(errors_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, STDERR_FILENO);
        dup2(out, STDOUT_FILENO);
        for (const char* name :
             {"RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG", "MARLDALE_SETTINGS"})
            unsetenv(name);
        for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
        if (!config.empty()) setenv("RELAY_CONFIG", config.c_str(), 1);
        std::vector<char*> arguments = {const_cast<char*>(MARLDALE_PROGRAM)};
        for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        execv(MARLDALE_PROGRAM, arguments.data());
        _exit(127);
    }
    ~Process() {
        if (pid_ > 0) end(SIGKILL);
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    [[nodiscard]] pid_t id() const { return pid_; }
    void signal(int number) const { kill(pid_, number); }
    // Sends a signal (0: none) and waits for the end. The exit status, or minus the signal that ended it.
    int end(int signal) {
        if (signal != 0) kill(pid_, signal);
        int status = 0;
        waitpid(pid_, &status, 0);
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    [[nodiscard]] bool running() const { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
    [[nodiscard]] std::string errors() const {
        std::ifstream in(errors_);
        return {std::istreambuf_iterator<char>(in), {}};
    }

private:
    pid_t pid_ = 0;
    std::string errors_;
};

}  // namespace marldale::tests
