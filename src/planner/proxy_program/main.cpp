// marldale proxy: an HTTP/1.1 proxy that forwards as its planners' tables say.
#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>

#include "bytes/mix.h"
#include "proxy/planner_side.h"
#include "proxy/platform_side.h"
#include "proxy/table_snapshot.h"
#include "routing/catalog_watch.h"

namespace {

using marldale::Micros;
using marldale::proxy::Gateway;
using marldale::proxy::ListedBox;
using marldale::proxy::ProxySettings;
using marldale::settings::Problem;

constexpr marldale::transport::Millis kLastWords{100};  // to planners, on their way out
constexpr int kTellAloneS = 10, kTellAgainS = 60;

enum Status { kRight = 0, kFailed = 1, kMisunderstood = 2 };

// A line for each topic and second at most; what was left out is told with the next one.
class Log {
public:
    void operator()(const char* topic, const std::string& text) {
        const Micros now = Gateway::now();
        Topic& t = topics_[topic];
        if (now - t.last < 1000000 && t.last != 0 && ++t.leftOut > 5) return;
        const auto wall =
            std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
        std::fprintf(
            stderr, "%.3f marldale-proxy: %s: %s%s\n", wall, topic, text.c_str(),
            t.leftOut > 5 ? (" (" + std::to_string(t.leftOut - 5) + " lines left out)").c_str() : "");
        if (now - t.last >= 1000000) t = {now, 0};
    }

private:
    struct Topic {
        Micros last = 0;
        std::uint64_t leftOut = 0;
    };
    std::map<std::string, Topic> topics_;
};

std::uint64_t seedOf(const ProxySettings& s) {
    if (s.seed != 0) return s.seed;
    std::uint64_t out = 1;
    for (const char c : s.planner.node) out = marldale::bytes::mixed(out ^ static_cast<unsigned char>(c));
    return out;
}

// The list's words as the proxy needs them.
void listed(Gateway& gateway, const marldale::protocol::CatalogNews& news) {
    std::map<std::string, ListedBox> boxes;
    for (const auto& entry : news.entries) boxes[entry.uid] = {entry.endpoint, entry.state};
    gateway.steering().listed(boxes, news.whole);
    gateway.steered();
}

std::int64_t wallUs() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Null: plain TCP. Throws std::runtime_error if a file can't be used.
std::shared_ptr<marldale::tls::Context> contextOf(marldale::tls::Side side,
                                                  const marldale::tls::Files& files) {
    return files.empty() ? nullptr : std::make_shared<marldale::tls::Context>(side, files);
}

class Program {
public:
    explicit Program(ProxySettings settings)
        : settings_(std::move(settings)),
          clientTls_(contextOf(marldale::tls::Side::server, settings_.clientTls)),
          boxTls_(contextOf(marldale::tls::Side::client, settings_.boxTls)),
          gateway_(loop_, *marldale::transport::parseAddress(settings_.listen), gatewaySettings(),
                   seedOf(settings_)),
          term_(loop_, SIGTERM, [this] { end("SIGTERM"); }),
          interrupt_(loop_, SIGINT, [this] { end("SIGINT"); }),
          hangup_(loop_, SIGHUP, [this] { hangup(); }),
          telling_(loop_, [this] { tellStanding(); }),
          keeping_(loop_, [this] { keepTables(); }),
          leaving_(loop_, [this] { loop_.stop(); }) {}

    int run() {
        const auto log = [this](const char* topic, const std::string& text) { log_(topic, text); };
        std::map<std::string, ListedBox> boxes;
        for (const auto& [uid, address] : settings_.boxes)
            boxes[uid] = {address, marldale::ServerState::ready};
        gateway_.steering().listed(boxes, true);
        if (!settings_.discovery.empty()) {
            const auto take = [this](const marldale::routing::Input& input) {
                if (const auto* list = std::get_if<marldale::routing::ListInput>(&input))
                    listed(gateway_, list->news);
                return true;
            };
            catalog_ = std::make_unique<marldale::routing::CatalogWatch>(
                loop_, *marldale::transport::parseAddress(settings_.discovery), 0, seedOf(settings_), take,
                log);
            catalog_->fetchList();
        }
        recallTables();
        if (settings_.planner.platform.empty())
            planners_ =
                std::make_unique<marldale::proxy::PlannerSide>(loop_, gateway_, settings_.planner, log);
        else
            planners_ =
                std::make_unique<marldale::proxy::PlatformSide>(loop_, gateway_, settings_.planner, log);
        const auto host = marldale::transport::parseAddress(settings_.listen)->host;
        log_("phase", "serving on " + host + ":" + std::to_string(gateway_.port()));
        log_("tables", name(standing_));
        telling_.after(marldale::transport::Millis{1000});
        loop_.run();
        keepTables();
        writer_.reset();  // what waits is written
        log_("phase", "ended");
        return kRight;
    }

private:
    [[nodiscard]] marldale::proxy::GatewaySettings gatewaySettings() const {
        auto out = settings_.gateway;
        out.clientTls = clientTls_;
        out.boxTls.context = boxTls_;
        return out;
    }
    void hangup() {
        for (const auto& context : {clientTls_, boxTls_}) {
            if (!context) continue;
            try {
                context->reload();
                log_("tls", "keys and certificates are read again; new connections have them");
            } catch (const std::runtime_error& e) {
                log_("tls", std::string(e.what()) + "; what was read before holds on");
            }
        }
        tellFigures();
    }
    void recallTables() {
        const std::string& file = settings_.tablesFile;
        if (file.empty()) return;
        std::string wrong;
        const auto snapshot = marldale::proxy::readTables(file, wrong);
        const auto orders = snapshot ? marldale::proxy::usable(*snapshot, settings_.planner.node, wallUs(),
                                                               settings_.tablesMost, wrong)
                                     : std::nullopt;
        if (orders) {
            gateway_.steering().recall(*orders, Gateway::now());
            log_("tables", "recalled from " + file);
        } else if (!wrong.empty()) {
            log_("tables", file + " is not used: " + wrong);
        }
        kept_ = gateway_.steering().changes();
        writer_ = std::make_unique<marldale::proxy::TableWriter>(file, [this](const std::string& why) {
            loop_.post([this, why] { log_("tables", "the snapshot can't be written: " + why); });
        });
        keeping_.after(marldale::transport::Millis{settings_.tablesEvery / 1000});
    }
    void keepTables() {
        if (!writer_) return;
        const auto& steering = gateway_.steering();
        if (steering.changes() != kept_) {
            kept_ = steering.changes();
            writer_->write(marldale::proxy::encode({steering.inForce(), settings_.planner.node, wallUs()}));
        }
        keeping_.after(marldale::transport::Millis{settings_.tablesEvery / 1000});
    }
    void tellStanding() {
        const auto standing = gateway_.steering().standing();
        if (standing != standing_) log_("tables", name(standing));
        standing_ = standing;
        aloneS_ = standing == marldale::proxy::Standing::steered ? 0 : aloneS_ + 1;
        if (aloneS_ == kTellAloneS || (aloneS_ > 0 && aloneS_ % kTellAgainS == 0))
            log_("tables", std::string(name(standing)) + " for " + std::to_string(aloneS_) + " s");
        telling_.after(marldale::transport::Millis{1000});
    }
    void tellFigures() {
        const auto& f = gateway_.figures();
        std::string text = std::to_string(f.requests) + " requests, " + std::to_string(f.tries) + " tries, " +
                           std::to_string(f.again) + " again, " + std::to_string(f.passedOn) +
                           " passed on, " + std::to_string(f.told) + " told, " + std::to_string(f.cutShort) +
                           " cut short, " + std::to_string(f.levelRefused) + " over the level, " +
                           std::to_string(f.unpicked) + " without a box, " + std::to_string(f.clientsGone) +
                           " clients gone, " + std::to_string(f.turnedAway) + " clients turned away, " +
                           std::to_string(gateway_.clients()) + " clients here";
        log_("figures", text);
    }
    void end(const char* why) {
        if (ending_) return loop_.stop();
        ending_ = true;
        log_("phase", std::string(why) + " has come, requests under way are ended");
        gateway_.drain([this] {
            planners_->bye();
            tellFigures();
            leaving_.after(kLastWords);
        });
    }

    const ProxySettings settings_;
    Log log_;
    const std::shared_ptr<marldale::tls::Context> clientTls_, boxTls_;
    marldale::transport::Loop loop_;
    Gateway gateway_;
    std::unique_ptr<marldale::routing::CatalogWatch> catalog_;
    std::unique_ptr<marldale::proxy::Planners> planners_;
    std::unique_ptr<marldale::proxy::TableWriter> writer_;
    marldale::transport::Signal term_, interrupt_, hangup_;
    marldale::transport::Timer telling_, keeping_, leaving_;
    std::uint64_t kept_ = 0;  // changes of the tables that the snapshot has
    marldale::proxy::Standing standing_ = marldale::proxy::Standing::waiting;
    int aloneS_ = 0;  // seconds without a planner
    bool ending_ = false;
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"A proxy that forwards as its planners' tables say.", "marldale proxy"};
    std::string file;
    bool check = false, keys = false;
    app.add_option("--settings", file, "its settings, INI");
    app.add_flag("--check", check, "read them, tell all that is wrong, and end");
    app.add_flag("--keys", keys, "every key, in Markdown");
    if (argc > 1 && std::string_view(argv[1]) == "proxy") {  // as `marldale proxy` hands it on
        ++argv;
        --argc;
    }
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kRight : kMisunderstood;
    }
    if (keys) {
        std::fputs(marldale::proxy::proxyKeys().c_str(), stdout);
        return kRight;
    }
    std::vector<Problem> problems;
    std::string text;
    if (file.empty()) problems.push_back({"marldale proxy", 0, "--settings FILE is needed"});
    ProxySettings settings;
    if (!file.empty() && marldale::settings::readFile(file, text, problems))
        settings = marldale::proxy::readProxySettings(file, text, problems);
    for (const Problem& p : problems) std::fprintf(stderr, "%s\n", p.shown().c_str());
    if (!problems.empty()) return kMisunderstood;
    if (check) return kRight;
    try {
        return Program(std::move(settings)).run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "marldale proxy: %s\n", e.what());
        return kFailed;
    }
}
