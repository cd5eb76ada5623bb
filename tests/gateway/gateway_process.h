// The gateway's program as a child process of a test, in one of its roles, with a folder of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "free_port.h"

namespace marldale::program {

/// The program; its log output is read through a pipe.
class GatewayProcess {
public:
    enum class Settings { file, heldBack };  // held back: the program waits for them until `giveSettings`

    explicit GatewayProcess(const std::string& role, Settings settings = Settings::file) {
        std::string pattern = (std::filesystem::temp_directory_path() / "program-end-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        settingsText_ = settingsOf(role);
        role_ = role;
        settingsPath_ = folder_ + "/settings.yaml";
        if (settings == Settings::file) {
            std::ofstream(settingsPath_) << settingsText_;
        } else {
            REQUIRE(::mkfifo(settingsPath_.c_str(), 0600) == 0);
        }
        launch(role);
        // Opened once the program reads them.
        if (settings == Settings::heldBack) settingsPipe_ = ::open(settingsPath_.c_str(), O_WRONLY);
    }
    ~GatewayProcess() {
        kill();
        ::close(log_);
        std::filesystem::remove_all(folder_);
    }
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // Ends the process without a chance to react, if it still runs.
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    // Starts the program again, on the same settings and folder. It must have ended.
    void restart() {
        ::close(log_);
        text_.clear();
        launch(role_);
    }
    // Whether the process has ended.
    [[nodiscard]] bool hasEnded() const {
        siginfo_t ended{};
        return pid_ <= 0 ||
               ::waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT) != 0 ||
               ended.si_pid != 0;
    }
    // Sends one HTTP call to the controller's address. Returns the whole reply as text: empty without a
    // reply.
    [[nodiscard]] std::string call(const std::string& method, const std::string& target,
                                   const std::string& body) const {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const timeval timeout{10, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(controlPort_);
        std::string reply;
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            const std::string request = method + " " + target +
                                        " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
                                        std::to_string(body.size()) + "\r\n\r\n" + body;
            std::size_t sent = 0;
            for (ssize_t size = 0; sent < request.size() && size >= 0;
                 sent += static_cast<std::size_t>(std::max<ssize_t>(size, 0)))
                size = ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            std::array<char, 4096> bytes{};
            for (ssize_t size = 0; (size = ::recv(socket, bytes.data(), bytes.size(), 0)) > 0;)
                reply.append(bytes.data(), static_cast<std::size_t>(size));
        }
        ::close(socket);
        return reply;
    }

    void signal(int number) const { ::kill(pid_, number); }
    // Puts this text into the settings file, without a signal.
    void replaceSettings(const std::string& text) const { std::ofstream(settingsPath_) << text; }
    void giveSettings() const {
        const auto size = static_cast<ssize_t>(settingsText_.size());
        REQUIRE(::write(settingsPipe_, settingsText_.data(), settingsText_.size()) == size);
        ::close(settingsPipe_);
    }
    // Reads on until a line tells of this event; the end of the log is a failure.
    void awaitEvent(const std::string& event) {
        while (text_.find("\"event\":\"" + event + "\"") == std::string::npos) REQUIRE(readMore());
    }
    // Reads to the end of the log, then waits. The exit status, or minus the signal that ended it.
    int awaitEnd() {
        while (readMore()) {
        }
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    [[nodiscard]] const std::string& log() const { return text_; }
    // The data folder, and the address by which a controller names itself in its replicated log.
    [[nodiscard]] const std::string& folder() const { return folder_; }
    [[nodiscard]] std::string insideAddress() const { return "127.0.0.1:" + std::to_string(insidePort()); }

private:
    static unsigned insidePort() { return 20000 + static_cast<unsigned>(::getpid()) % 20000; }
    void launch(const std::string& role) {
        std::array<int, 2> ends{};
        REQUIRE(::pipe(ends.data()) == 0);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::dup2(ends[1], STDERR_FILENO);
            ::close(ends[0]);
            ::close(ends[1]);
            ::setenv("MARLDALE_CONFIG", settingsPath_.c_str(), 1);
            ::execl(MARLDALE_GATEWAY_PROGRAM, MARLDALE_GATEWAY_PROGRAM, role.c_str(), nullptr);
            ::_exit(127);
        }
        ::close(ends[1]);
        log_ = ends[0];
    }
    [[nodiscard]] std::string settingsOf(const std::string& role) {
        controlPort_ = tests::freePort(SOCK_STREAM);
        const std::string port = std::to_string(controlPort_);
        const unsigned inside = insidePort();
        std::ostringstream out;
        out << "node_name: \"one\"\nip_address: \"127.0.0.1\"\nlisten_on:\n";
        if (role == "controller") {
            out << "  control: \"127.0.0.1:" << port << "\"\ndata_folder: \"" << folder_ << "\"\n";
        } else {
            out << "  front: \"127.0.0.1:" << port
                << "\"\n  readiness: \"127.0.0.1:" << tests::freePort(SOCK_STREAM) << "\"\n";
        }
        out << "zone: \"north\"\nregion: \"home\"\nzones:\n  north: \"home\"\n"
            << "inside_ports: [" << inside << ", " << inside + 50 << "]\n"
            << "seed_nodes: [\"127.0.0.1:" << port << "\"]\nfirst_run: true\nbeat_every: \"1500ms\"\n"
            << "bounds:\n  grace: \"300ms\"\n";
        return out.str();
    }
    bool readMore() {
        std::array<char, 4096> bytes{};
        const ssize_t size = ::read(log_, bytes.data(), bytes.size());
        if (size <= 0) return false;
        text_.append(bytes.data(), static_cast<std::size_t>(size));
        return true;
    }

    std::string role_, folder_, settingsPath_, settingsText_, text_;
    pid_t pid_ = 0;
    unsigned short controlPort_ = 0;
    int log_ = -1, settingsPipe_ = -1;
};

}  // namespace marldale::program
