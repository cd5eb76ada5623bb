#include "proxy/settings.h"

#include <algorithm>
#include <cmath>

#include "transport/address.h"

namespace marldale::proxy {
namespace {

using settings::Refused;
using settings::Type;
using settings::Value;

RequestClass& classNamed(ProxySettings& s, const std::string& name) {
    auto& all = s.gateway.classes;
    const auto at =
        std::find_if(all.begin(), all.end(), [&](const RequestClass& k) { return k.name == name; });
    if (at != all.end()) return *at;
    RequestClass out;
    out.name = name;
    return all.emplace_back(std::move(out));
}

PlatformPlanner& platformNamed(ProxySettings& s, const std::string& name) {
    auto& all = s.planner.platform;
    const auto at =
        std::find_if(all.begin(), all.end(), [&](const PlatformPlanner& p) { return p.name == name; });
    return at != all.end() ? *at : all.emplace_back(PlatformPlanner{name, "", ""});
}

class Keys {
public:
    Keys(settings::Schema& schema, ProxySettings& s) : schema_(schema), s_(s) {}

    void text(const char* section, const char* name, Type type, std::string& into, const char* help,
              const char* standard = "") {
        schema_.key(section, name, type)
            .otherwise(standard)
            .means(help)
            .to([&into](const std::string&, const Value& v) { into = v.text; });
    }
    template <class Number>
    void whole(const char* section, const char* name, const char* unit, double least, double most,
               Number& into, const char* help) {
        const std::string standard = std::to_string(into);
        schema_.key(section, name, Type::whole)
            .range(unit, least, most)
            .otherwise(standard.c_str())
            .means(help)
            .to([&into](const std::string&, const Value& v) { into = static_cast<Number>(v.whole()); });
    }
    void seconds(const char* section, const char* name, double most, Micros& into, const char* help) {
        const std::string standard = std::to_string(into / 1000000);
        schema_.key(section, name, Type::number)
            .range("s", 0.05, most)
            .otherwise(standard.c_str())
            .means(help)
            .to([&into](const std::string&, const Value& v) { into = std::llround(v.number * 1e6); });
    }
    void classes() {
        const auto add = [this](const char* name, Type type, const char* help, auto set) {
            schema_.key("class *", name, type)
                .means(help)
                .to([&s = s_, set](const std::string& klass, const Value& v) {
                    set(classNamed(s, klass), v);
                });
        };
        add("path", Type::text, "what its paths begin with", [](RequestClass& k, const Value& v) {
            if (v.text.empty() || v.text.front() != '/') throw Refused("a path begins with /");
            k.prefix = v.text;
        });
        add("method", Type::text, "its method; absent: any",
            [](RequestClass& k, const Value& v) { k.method = v.text; });
        add("upgrade", Type::text,
            "a protocol that its connections may change to, as websocket; absent: upgrades end at the proxy",
            [](RequestClass& k, const Value& v) { k.upgrade = v.text; });
        add("fragile", Type::flag, "whether it must not run twice",
            [](RequestClass& k, const Value& v) { k.fragile = v.flag; });
        schema_.key("class *", "give_up_ms", Type::whole)
            .range("ms", 10, 600000)
            .otherwise("10000")
            .means("until its client is told that it takes too long")
            .to([&s = s_](const std::string& klass, const Value& v) {
                classNamed(s, klass).giveUp = v.whole() * 1000;
            });
        schema_.key("class *", "try_ms", Type::whole)
            .range("ms", 0, 600000)
            .otherwise("0")
            .means("of a try that another may follow; 0: as long as the request has")
            .to([&s = s_](const std::string& klass, const Value& v) {
                classNamed(s, klass).tryFor = v.whole() * 1000;
            });
    }

private:
    settings::Schema& schema_;
    ProxySettings& s_;
};

void addKeys(settings::Schema& schema, ProxySettings& s) {
    Keys keys(schema, s);
    keys.text("proxy", "listen", Type::address, s.listen, "where clients come to", "127.0.0.1:8080");
    keys.text("proxy", "zone", Type::text, s.planner.zone,
              "its zone, as the planners' configuration names it");
    keys.text("proxy", "node", Type::text, s.planner.node, "its name, the same after a restart", "proxy");
    keys.whole("proxy", "relay", "", 0, 65534, s.planner.relay, "its number among the planners' relays");
    schema.key("proxy", "usual_rate", Type::number)
        .range("requests/s", 0, 1e6)
        .otherwise("1")
        .means("what it usually brings, told when it joins")
        .to([&s](const std::string&, const Value& v) { s.planner.usualRate = v.number; });
    keys.whole("proxy", "seed", "", 0, 1e15, s.seed, "where its rounds over boxes begin; 0: by its name");
    keys.text("proxy", "discovery", Type::address, s.discovery,
              "the list of boxes and their addresses; absent: [box UID]");
    keys.whole("proxy", "clients_most", "", 1, 1000000, s.gateway.clientsMost,
               "connections of clients at once");
    keys.whole("proxy", "head_most", "bytes", 1024, 65536, s.gateway.heads.bytes, "of a message");
    keys.whole("proxy", "fields_most", "", 10, 1000, s.gateway.heads.fields, "of a head");
    keys.whole("proxy", "body_kept", "bytes", 0, 16777216, s.gateway.bodyKept,
               "of a request, for another try");
    keys.whole("proxy", "bodies_kept", "bytes", 0, 17179869184.0, s.gateway.bodiesKept,
               "of all requests together; fair between clients, and the least worth gives way first");
    keys.seconds("proxy", "head_within_s", 600, s.gateway.headWithin,
                 "a head comes, or the client is let go");
    keys.seconds("proxy", "idle_s", 3600, s.gateway.idleFor,
                 "a client's connection waits for its next request");
    keys.seconds("proxy", "stall_s", 600, s.gateway.stallFor, "an answer may stand still, whoever is slow");
    keys.seconds("proxy", "upgraded_idle_s", 86400, s.gateway.upgradedIdleFor,
                 "a connection that has changed its protocol may stand still");
    schema.key("proxy", "half_close", Type::flag)
        .otherwise("false")
        .means("a client that says no more still gets its answer; false: it counts as gone")
        .to([&s](const std::string&, const Value& v) { s.gateway.halfClose = v.flag; });
    keys.seconds("proxy", "drain_s", 600, s.gateway.drainFor, "requests under way have at SIGTERM");
    keys.whole("boxes", "connections_most", "", 1, 100000, s.gateway.pool.perBox, "to each box");
    keys.whole("boxes", "idle_most", "", 0, 10000, s.gateway.pool.idlePerBox, "kept for each box");
    keys.seconds("boxes", "idle_s", 3600, s.gateway.pool.idleFor, "one is kept");
    schema.key("boxes", "connect_ms", Type::whole)
        .range("ms", 10, 60000)
        .otherwise("1000")
        .means("until a dial counts as come to nothing")
        .to([&s](const std::string&, const Value& v) {
            s.gateway.pool.connectWithin = transport::Millis{v.whole()};
        });
    keys.text("boxes", "authority", Type::file, s.boxTls.authority,
              "PEM: who vouches for boxes; with it the proxy speaks TLS to them");
    keys.text("boxes", "certificate", Type::file, s.boxTls.certificate, "PEM: shown to boxes");
    keys.text("boxes", "key", Type::file, s.boxTls.key, "PEM: of that certificate");
    keys.text("boxes", "tls_name", Type::text, s.gateway.boxTls.name,
              "the name in their certificates; absent: the address that is dialled");
    keys.text("tls", "certificate", Type::file, s.clientTls.certificate,
              "PEM: shown to clients; with it the proxy listens for TLS only");
    keys.text("tls", "key", Type::file, s.clientTls.key, "PEM: of that certificate");
    keys.text("tls", "authority", Type::file, s.clientTls.authority,
              "PEM: who vouches for clients; absent: they prove nothing");
    keys.text("tables", "file", Type::file, s.tablesFile,
              "keeps the tables in force, for a start without a planner; absent: none");
    keys.seconds("tables", "every_s", 3600, s.tablesEvery, "between two writings, where tables have changed");
    keys.seconds("tables", "most_s", 86400, s.tablesMost, "its age; an older one is not used");
    const auto platform = [&](const char* name, std::string PlatformPlanner::*into, const char* help) {
        schema.key("platform *", name, Type::address)
            .means(help)
            .to([&s, into](const std::string& planner, const Value& v) {
                platformNamed(s, planner).*into = v.text;
            });
    };
    platform("relay_listen", &PlatformPlanner::relayListen,
             "where this planner finds the proxy as its relay; one address for each planner");
    platform("planner", &PlatformPlanner::planner, "where this planner takes reports");
    schema.key("planners", "report_ms", Type::whole)
        .range("ms", 50, 30000)
        .otherwise("1000")
        .means("between two reports over the platform's protocol; over gRPC the planner says")
        .to([&s](const std::string&, const Value& v) {
            s.planner.reportEvery = transport::Millis{v.whole()};
        });
    schema.key("planners", "addresses", Type::list)
        .means("of gRPC fronts; the first that answers has this proxy")
        .to([&s](const std::string&, const Value& v) {
            for (const std::string& item : v.items) {
                if (!transport::parseAddress(item)) throw Refused(item + " is no address");
            }
            s.planner.planners = v.items;
        });
    keys.text("planners", "authority", Type::file, s.planner.authority,
              "PEM: who vouches for planners; absent: plain text");
    keys.text("planners", "certificate", Type::file, s.planner.certificate, "PEM: the proxy's own");
    keys.text("planners", "key", Type::file, s.planner.key, "PEM: of that certificate");
    schema.key("retries", "ratio", Type::number)
        .range("", 0, 10)
        .otherwise("0.2")
        .means("further tries for each first one, whatever is ordered")
        .to([&s](const std::string&, const Value& v) { s.gateway.retries.overAll.ratio = v.number; });
    schema.key("retries", "most", Type::number)
        .range("", 0, 100000)
        .otherwise("20")
        .means("further tries saved up")
        .to([&s](const std::string&, const Value& v) { s.gateway.retries.overAll.most = v.number; });
    schema.key("retries", "class_ratio", Type::number)
        .range("", 0, 10)
        .otherwise("0.2")
        .means("the same, of each class")
        .to([&s](const std::string&, const Value& v) { s.gateway.retries.ofClass.ratio = v.number; });
    schema.key("retries", "class_most", Type::number)
        .range("", 0, 100000)
        .otherwise("20")
        .means("the same, of each class")
        .to([&s](const std::string&, const Value& v) { s.gateway.retries.ofClass.most = v.number; });
    const auto bucket = [&](const char* name, const char* standard, const char* help, double& into) {
        schema.key("retries", name, Type::number)
            .range("", 0, 100000)
            .otherwise(standard)
            .means(help)
            .to([&into](const std::string&, const Value& v) { into = v.number; });
    };
    auto& retries = s.gateway.retries;
    bucket("client_ratio", "1", "the same, of each client's address", retries.ofClient.ratio);
    bucket("client_most", "10", "the same, of each client's address", retries.ofClient.most);
    bucket("box_ratio", "0.5", "the same, of each box that they go to", retries.ofBox.ratio);
    bucket("box_most", "20", "the same, of each box that they go to", retries.ofBox.most);
    schema.key("retries", "storm_at", Type::number)
        .range("", 0, 1)
        .otherwise("0.5")
        .means(
            "share of repeats among what is asked for in a second, at which nothing is repeated until it is "
            "half of that")
        .to([&retries](const std::string&, const Value& v) { retries.stormAt = v.number; });
    schema.key("box *", "address", Type::address)
        .means("of a box, by its uid")
        .to([&s](const std::string& uid, const Value& v) { s.boxes[uid] = v.text; });
    keys.classes();
}

}  // namespace

ProxySettings readProxySettings(const std::string& file, const std::string& text,
                                std::vector<settings::Problem>& problems) {
    ProxySettings out;
    settings::Schema schema;
    addKeys(schema, out);
    schema.take(file, settings::readIni(file, text, problems), problems);
    const auto missing = [&](const char* what) { problems.push_back({file, 0, what}); };
    if (out.gateway.classes.empty()) missing("there is no [class NAME]");
    const PlannerSettings& p = out.planner;
    if (p.planners.empty() && p.platform.empty())
        missing("there is neither [planners] addresses nor a [platform NAME]");
    if (!p.planners.empty() && !p.platform.empty())
        missing("[planners] addresses and [platform NAME] exclude each other: one protocol orders a proxy");
    for (const PlatformPlanner& one : p.platform) {
        if (one.relayListen.empty() || one.planner.empty())
            problems.push_back({file, 0, "[platform " + one.name + "] needs relay_listen and planner"});
    }
    if (out.planner.zone.empty()) missing("[proxy] zone is missing");
    if (out.discovery.empty() && out.boxes.empty())
        missing("there is neither [proxy] discovery nor a [box UID]");
    if (p.key.empty() != p.certificate.empty()) missing("[planners] certificate and key go together");
    if (out.boxTls.key.empty() != out.boxTls.certificate.empty())
        missing("[boxes] certificate and key go together");
    if (!out.boxTls.certificate.empty() && out.boxTls.authority.empty())
        missing("[boxes] certificate needs authority: nothing is said to a box that nobody vouches for");
    if (out.clientTls.key.empty() != out.clientTls.certificate.empty())
        missing("[tls] certificate and key go together");
    if (!out.clientTls.authority.empty() && out.clientTls.certificate.empty())
        missing("[tls] authority needs certificate and key");
    if (p.relay > 65534 || out.gateway.classes.size() > 16) missing("there can be 16 classes at most");
    return out;
}

std::string proxyKeys() {
    ProxySettings any;
    settings::Schema schema;
    addKeys(schema, any);
    return schema.table();
}

}  // namespace marldale::proxy
