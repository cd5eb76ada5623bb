#include "proxy/planner_side.h"

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace marldale::proxy {
namespace {

constexpr transport::Millis kGatherEvery{200};

std::string whole(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string out{std::istreambuf_iterator<char>(in), {}};
    if (!in || out.empty()) throw std::runtime_error(path + " can't be read");
    return out;
}

std::shared_ptr<::grpc::Channel> channelOf(const PlannerSettings& s) {
    std::string target = "ipv4:";
    for (const std::string& address : s.planners) target += (target.back() == ':' ? "" : ",") + address;
    if (s.authority.empty()) return ::grpc::CreateChannel(target, ::grpc::InsecureChannelCredentials());
    ::grpc::SslCredentialsOptions tls;
    tls.pem_root_certs = whole(s.authority);
    if (!s.key.empty()) tls.pem_private_key = whole(s.key);
    if (!s.certificate.empty()) tls.pem_cert_chain = whole(s.certificate);
    return ::grpc::CreateChannel(target, ::grpc::SslCredentials(tls));
}

}  // namespace

Orders ordersOf(const client::RelayTables& tables, std::uint32_t relay,
                const std::vector<std::string>& classes) {
    Orders out;
    out.shut = tables.shutOut();
    for (const std::string& name : classes) {
        if (!tables.isBound(relay, name)) continue;
        ClassOrder& order = out.byClass[name];  // without a line, if its table has been emptied
        const auto* table = tables.tableOf(relay, name);
        if (table == nullptr) continue;
        order.lines = table->lines;
        const auto level = table->levels.find(name);
        if (level == table->levels.end()) continue;
        order.limit = level->second.limit;
        order.retryMode = level->second.retryMode;
    }
    return out;
}

v1::ReportBatch reportOf(const Count& count, const PlannerSettings& settings,
                         const std::vector<std::string>& classes) {
    v1::ReportBatch out;
    const auto over = static_cast<std::uint64_t>(std::clamp<Micros>(count.over, 1, 60000000));
    for (const auto& [box, c] : count.boxes) {
        v1::Outcomes& row = *out.add_outcomes();
        row.set_zone(settings.zone);
        row.set_server(box);
        row.set_tries(c.tries);
        row.set_failed(c.failed);
        if (c.tries > c.failed)
            row.set_mean_us(static_cast<std::uint64_t>(std::min<Micros>(c.mean(), 60000000)));
        row.set_over_us(over);
    }
    for (std::size_t k = 0; k < count.classes.size(); ++k) {
        if (count.classes[k] == ClassCount{}) continue;
        v1::Demand& row = *out.add_demand();
        row.set_relay(settings.relay);
        row.set_request_class(classes[k]);
        row.set_came(count.classes[k].came);
        row.set_failed(count.classes[k].failed);
        row.set_over_us(over);
    }
    return out;
}

PlannerSide::PlannerSide(transport::Loop& loop, Gateway& gateway, PlannerSettings settings,
                         routing::Logger log)
    : loop_(loop),
      gateway_(gateway),
      settings_(std::move(settings)),
      standing_(gateway, std::move(log)),
      gathering_(loop, [this] { gather(); }) {
    const auto channel = channelOf(settings_);
    const std::vector<std::string> classes = gateway_.steering().classes();
    // Tasks are run by the loop only while this stands.
    const auto post = [this, alive = std::weak_ptr<bool>(alive_)](auto task) {
        loop_.post([alive, task = std::move(task)] {
            if (!alive.expired()) task();
        });
    };

    client::AssignmentsOptions options;
    options.node = settings_.node;
    options.agent = "marldale-proxy/1";
    options.classes = classes;
    client::AssignmentsHandlers handlers;
    handlers.applied = [this, classes, post](const v1::Batch&, const client::RelayTables::Outcome& outcome) {
        const auto came = std::chrono::steady_clock::now();
        const bool concerned = outcome.concerned.count(settings_.relay) != 0;
        const auto mark = concerned ? outcome.mark : std::nullopt;
        post([this, orders = ordersOf(assignments_->tables(), settings_.relay, classes), mark, came] {
            inForce(orders, mark, came);
        });
    };
    handlers.welcomed = [this, post](bool kept) {
        post([this, kept] { standing_(true, kept ? "what is held stands" : "new tables follow"); });
    };
    handlers.released = [this, post](std::uint32_t, const std::string& why) {
        post([this, why] { standing_(false, "released: " + why); });
    };
    handlers.ended = [this, post](const ::grpc::Status& status) {
        post([this, why = status.error_message()] { standing_(false, why); });
    };
    assignments_ = std::make_unique<client::Assignments>(channel, std::move(options), std::move(handlers));
    assignments_->join({settings_.relay, settings_.zone, settings_.usualRate, true});
    assignments_->open();

    client::LoadReportsOptions reporting;
    reporting.node = settings_.node;
    reporting.agent = "marldale-proxy/1";
    client::LoadReportsHandlers told;
    told.collect = [this, classes] {
        const std::lock_guard lock(mutex_);
        return reportOf(std::exchange(gathered_, {}), settings_, classes);
    };
    reports_ = std::make_unique<client::LoadReports>(channel, std::move(reporting), std::move(told));
    reports_->open();
    gathering_.after(kGatherEvery);
}

PlannerSide::~PlannerSide() = default;

void PlannerSide::bye() {
    reports_->bye();
    assignments_->bye();
}

void PlannerSide::inForce(const Orders& orders, std::optional<std::uint32_t> mark,
                          std::chrono::steady_clock::time_point came) {
    gateway_.steering().obey(orders, Gateway::now());
    gateway_.steered();
    if (!mark) return;
    const auto took =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - came);
    assignments_->answer({settings_.relay}, *mark, took);
}

void PlannerSide::gather() {
    const Count count = gateway_.takeCount();
    {
        const std::lock_guard lock(mutex_);
        mergeRecent(gathered_, count);
    }
    gathering_.after(kGatherEvery);
}

}  // namespace marldale::proxy
