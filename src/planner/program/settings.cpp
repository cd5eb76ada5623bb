#include "program/settings.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marldale::program {
namespace {

using settings::Schema;
using settings::Type;
using settings::Value;

void addLog(Schema& schema, LogSettings& log) {
    schema.key("log", "form", Type::choice)
        .oneOf({"text", "json"})
        .otherwise("text")
        .takenLive()
        .means("lines for people, or one JSON object a line")
        .to([&log](const std::string&, const Value& v) {
            log.form = v.text == "json" ? LogForm::json : LogForm::text;
        });
    schema.key("log", "lines_most", Type::whole)
        .range("lines", 1, 1000)
        .otherwise("10")
        .takenLive()
        .means("lines of one topic that are written within `within_s`; those over it are counted")
        .to([&log](const std::string&, const Value& v) { log.linesMost = static_cast<int>(v.whole()); });
    schema.key("log", "within_s", Type::whole)
        .range("s", 1, 3600)
        .otherwise("10")
        .takenLive()
        .means("the span that `lines_most` counts for")
        .to([&log](const std::string&, const Value& v) { log.within = std::chrono::seconds(v.whole()); });
}

void addGrpc(Schema& schema, GrpcSettings& grpc) {
    schema.key("grpc", "listen", Type::address)
        .means("where load reports and assignments are spoken; this switches the gRPC front on")
        .to([&grpc](const std::string&, const Value& v) {
            grpc.on = true;
            grpc.front.listen = v.text;
        });
    schema.key("grpc", "module", Type::file)
        .otherwise("marldale_grpc.so beside the program")
        .means("the module that holds the front")
        .to([&grpc](const std::string&, const Value& v) { grpc.module = v.text; });
    const auto file = [&](const char* name, std::string routing::FrontSettings::*into, const char* means) {
        schema.key("grpc", name, Type::file)
            .takenLive()
            .means(means)
            .to([&grpc, into](const std::string&, const Value& v) { grpc.front.*into = v.text; });
    };
    file("certificate", &routing::FrontSettings::certificate, "the planner's certificate and its chain, PEM");
    file("key", &routing::FrontSettings::key, "the planner's private key, PEM, without a password");
    file("clients_ca", &routing::FrontSettings::clientsCa,
         "who must have signed a client's certificate, PEM");
    file("peers_ca", &routing::FrontSettings::peersCa,
         "who must have signed the certificate of another instance, PEM; else clients_ca");
    schema.key("grpc", "plain_text", Type::choice)
        .oneOf({"loopback", "anywhere"})
        .otherwise("loopback")
        .means("where the front may speak without certificates")
        .to([&grpc](const std::string&, const Value& v) { grpc.plainAnywhere = v.text == "anywhere"; });
    schema.key("grpc", "streams_most", Type::whole)
        .range("streams", 1, 20000)
        .otherwise("1200")
        .means("streams that may be open at once; each may need a descriptor")
        .to([&grpc](const std::string&, const Value& v) {
            grpc.front.streamsMost = static_cast<std::size_t>(v.whole());
        });
    schema.key("grpc", "keepalive_ms", Type::whole)
        .range("ms", 500, 60000)
        .otherwise("1000")
        .means("between two pings; a peer that leaves one unanswered for as long is gone")
        .to([&grpc](const std::string&, const Value& v) { grpc.front.keepaliveMs = v.whole(); });
    schema.key("grpc", "memory_mib", Type::whole)
        .range("MiB", 8, 4096)
        .otherwise("64")
        .means("what the library may buffer for all streams together; beyond it nothing is read")
        .to([&grpc](const std::string&, const Value& v) {
            grpc.front.memoryMost = static_cast<std::size_t>(v.whole()) << 20U;
        });
}

void addKnowledge(Schema& schema, KnowledgeSettings& knowledge) {
    schema.key("knowledge", "snapshot", Type::file)
        .means("file in which what is known of the boxes is kept over a restart; this switches it on")
        .to([&knowledge](const std::string&, const Value& v) {
            knowledge.on = true;
            knowledge.keeper.snapshot = v.text;
        });
    schema.key("knowledge", "share", Type::choice)
        .oneOf({"no", "yes"})
        .otherwise("no")
        .means("other instances may ask what is known, and are asked at the start; needs [grpc] listen")
        .to([&knowledge](const std::string&, const Value& v) {
            knowledge.keeper.share = v.text == "yes";
            knowledge.on = knowledge.on || knowledge.keeper.share;
        });
    schema.key("knowledge", "address", Type::address)
        .otherwise("127.0.0.1 and the port of [grpc] listen")
        .means("where other instances reach this one")
        .to([&knowledge](const std::string&, const Value& v) { knowledge.keeper.address = v.text; });
    schema.key("knowledge", "ask_for_s", Type::whole)
        .range("s", 1, 600)
        .otherwise("10")
        .means("from the start: nobody is asked later, and what is recalled later is not told to the module")
        .to([&knowledge](const std::string&, const Value& v) {
            knowledge.keeper.askFor = v.whole() * 1000000;
        });
    schema.key("knowledge", "hold_most_s", Type::whole)
        .range("s", 1, 3600)
        .otherwise("60")
        .means("a box that a newer list is said to have lost is held back so long, if that list never comes")
        .to([&knowledge](const std::string&, const Value& v) {
            knowledge.keeper.holdMost = v.whole() * 1000000;
        });
    schema.key("peer *", "address", Type::address)
        .means("where the instance of this name is reached; others are found through it")
        .to([&knowledge](const std::string& name, const Value& v) {
            knowledge.keeper.peers.push_back({name, v.text});
        });
    schema.key("knowledge", "module", Type::file)
        .otherwise("marldale_knowledge.so beside the program")
        .means("the module that keeps it")
        .to([&knowledge](const std::string&, const Value& v) { knowledge.module = v.text; });
    schema.key("knowledge", "every_s", Type::whole)
        .range("s", 1, 3600)
        .otherwise("10")
        .means("between two snapshots")
        .to([&knowledge](const std::string&, const Value& v) {
            knowledge.keeper.every = v.whole() * 1000000;
        });
    schema.key("knowledge", "age_most_s", Type::whole)
        .range("s", 1, 86400)
        .otherwise("600")
        .means("an older snapshot is not used")
        .to([&knowledge](const std::string&, const Value& v) {
            knowledge.keeper.ageMost = v.whole() * 1000000;
        });
}

void addIdentities(Schema& schema, membership::PermissionTable& passports) {
    schema.key("identity *", "zones", Type::list)
        .takenLive()
        .means("zones that this identity may report for and hold relays of; `*`: all")
        .to([&passports](const std::string& name, const Value& v) { passports.all()[name].zones = v.items; });
    schema.key("identity *", "peer", Type::choice)
        .oneOf({"no", "yes"})
        .otherwise("no")
        .takenLive()
        .means("whether it is an instance of the planner, which may ask what is known")
        .to([&passports](const std::string& name, const Value& v) {
            passports.all()[name].peer = v.text == "yes";
        });
    schema.key("identity *", "boxes", Type::list)
        .takenLive()
        .means("servers that it may report as, by uid; a trailing `*` stands for any end")
        .to([&passports](const std::string& name, const Value& v) { passports.all()[name].boxes = v.items; });
    schema.key("identity *", "relays", Type::list)
        .takenLive()
        .means("relays that it may hold, by number: `7`, `0-49`")
        .to([&passports](const std::string& name, const Value& v) {
            for (const std::string& item : v.items) {
                const auto range = membership::parseRelayRange(item);
                if (!range) throw settings::Refused(item + " is no range of relays, as 7 or 0-49");
                passports.all()[name].relays.push_back(*range);
            }
        });
}

routing::HookFile& hookNamed(HooksSettings& hooks, const std::string& name) {
    auto& all = hooks.runner.hooks;
    const auto at =
        std::find_if(all.begin(), all.end(), [&](const routing::HookFile& h) { return h.name == name; });
    return at != all.end() ? *at : all.emplace_back(routing::HookFile{name, "", ""});
}

void addHooks(Schema& schema, HooksSettings& hooks) {
    routing::HookSettings& r = hooks.runner;
    const auto file = [&](const char* name, std::string& into, const char* means) {
        schema.key("hooks", name, Type::file).means(means).to([&into](const std::string&, const Value& v) {
            into = v.text;
        });
    };
    schema.key("hook *", "file", Type::file)
        .takenLive()
        .means("the hook's text, Lua 5.4; its name is letters, digits, _, - and .")
        .to([&hooks](const std::string& name, const Value& v) {
            hooks.on = true;
            hookNamed(hooks, name).file = v.text;
        });
    schema.key("hook *", "sha256", Type::text)
        .takenLive()
        .means("of the text, hexadecimal; any other text is not taken")
        .to([&hooks](const std::string& name, const Value& v) { hookNamed(hooks, name).sha256 = v.text; });
    schema.key("hooks", "control", Type::file)
        .means(
            "a socket for marldale hook load, list, disable, enable and rollback, for the planner's user "
            "alone")
        .to([&hooks](const std::string&, const Value& v) {
            hooks.on = true;
            hooks.runner.control = v.text;
        });
    schema.key("hooks", "public_key", Type::file)
        .takenLive()
        .means("PEM, Ed25519: FILE.sig must be this key's signature of FILE")
        .to([&r](const std::string&, const Value& v) { r.publicKey = v.text; });
    file("module", hooks.module, "the module that runs hooks; absent: marldale_hooks.so beside the program");
    file("program", r.program, "the program of the worker; absent: marldale_hook beside the program");
    const auto micros = [&](const char* name, const char* unit, double least, double most, Micros scale,
                            Micros& into, const char* standard, const char* means) {
        schema.key("hooks", name, Type::whole)
            .range(unit, least, most)
            .otherwise(standard)
            .takenLive()
            .means(means)
            .to([&into, scale](const std::string&, const Value& v) { into = v.whole() * scale; });
    };
    micros("tick_ms", "ms", 100, 60000, 1000, r.tick, "1000", "between two calls of on_tick");
    micros("verdict_ms", "ms", 1, 1000, 1000, r.verdict, "20",
           "that rows of reports wait for a verdict; a later one is not used");
    micros("kill_ms", "ms", 20, 10000, 1000, r.killAfter, "250",
           "that a call may last before its worker is ended");
    micros("rest_s", "s", 1, 3600, 1000000, r.rest, "30",
           "that a hook is off after its errors; doubled each time, to 600");
    const auto number = [&](const char* name, const char* unit, double least, double most, auto& into,
                            const char* standard, const char* means) {
        schema.key("hooks", name, Type::whole)
            .range(unit, least, most)
            .otherwise(standard)
            .takenLive()
            .means(means)
            .to([&into](const std::string&, const Value& v) {
                into = static_cast<std::decay_t<decltype(into)>>(v.whole());
            });
    };
    number("budget", "units", 1000, 1e8, r.budget, "200000",
           "of work that a call may take; an instruction is one");
    schema.key("hooks", "memory_kib", Type::whole)
        .range("KiB", 128, 65536)
        .otherwise("1024")
        .takenLive()
        .means("of each hook")
        .to([&r](const std::string&, const Value& v) {
            r.memory = static_cast<std::size_t>(v.whole()) << 10U;
        });
    schema.key("hooks", "state_kib", Type::whole)
        .range("KiB", 1, 1024)
        .otherwise("64")
        .takenLive()
        .means("that a hook may hand to its next version")
        .to([&r](const std::string&, const Value& v) {
            r.state = static_cast<std::size_t>(v.whole()) << 10U;
        });
    const auto share = [&](const char* name, double most, double& into, const char* standard,
                           const char* means) {
        schema.key("hooks", name, Type::number)
            .range("", 0, most)
            .otherwise(standard)
            .takenLive()
            .means(means)
            .to([&into](const std::string&, const Value& v) { into = v.number; });
    };
    share("level_least", 1, r.levelLeast, "0.05",
          "share of a class that is let in at least, whatever a hook wishes");
    share("weight_least", 1, r.weightLeast, "0.1", "of a box's weight that is left at least");
    share("capacity_most", 0.5, r.capacityMost, "0.25",
          "share of a zone's ready weight that hooks may take away");
    share("rows_most", 0.5, r.rowsMost, "0.2",
          "share of a box's tries, and of a zone's, that may be left out");
    number("boxes_least", "boxes", 1, 1000, r.boxesLeast, "2", "warm boxes in use that stay in a zone");
    number("errors_most", "errors", 1, 100, r.errorsMost, "3", "within 30 s, before a hook is taken off");
}

// What no key can tell alone.
std::vector<std::string> disagreements(const OwnSettings& own) {
    std::vector<std::string> out;
    const routing::FrontSettings& front = own.grpc.front;
    const int files = !front.certificate.empty() + !front.key.empty() + !front.clientsCa.empty();
    if (files != 0 && files != 3) {
        out.emplace_back("[grpc] certificate, key and clients_ca go together: all three, or none");
    }
    if (own.grpc.on && files == 0 && !own.grpc.plainAnywhere && !front.listen.starts_with("127.")) {
        out.push_back("[grpc] listen = " + front.listen +
                      " is not loopback: name certificate, key and clients_ca, or say plain_text = anywhere");
    }
    if (own.knowledge.keeper.share && !own.grpc.on) {
        out.emplace_back("[knowledge] share = yes needs [grpc] listen: instances talk over that front");
    }
    if (!own.knowledge.keeper.share && !own.knowledge.keeper.peers.empty()) {
        out.emplace_back("there is a [peer NAME], and [knowledge] share is not yes: it would not be asked");
    }
    for (const routing::HookFile& hook : own.hooks.runner.hooks) {
        if (hook.file.empty()) out.push_back("[hook " + hook.name + "] needs file");
    }
    if (files == 3 && front.passports.empty()) {
        out.emplace_back("[grpc] has certificates, and there is no [identity NAME]: nobody could speak");
    }
    return out;
}

}  // namespace

Schema schemaOf(OwnSettings& into) {
    Schema out;
    addLog(out, into.log);
    addGrpc(out, into.grpc);
    addIdentities(out, into.grpc.front.passports);
    addKnowledge(out, into.knowledge);
    addHooks(out, into.hooks);
    return out;
}

OwnSettings readOwnSettings(const std::string& path, std::vector<settings::Problem>& problems) {
    OwnSettings out;
    std::string text;
    const auto before = static_cast<std::ptrdiff_t>(problems.size());
    if (path.empty() || !settings::readFile(path, text, problems)) return out;
    const auto entries = settings::readIni(path, text, problems);
    schemaOf(out).take(path, entries, problems);
    for (const settings::Entry& entry : entries) {
        if (!entry.key.empty()) out.said["[" + entry.section + "] " + entry.key] = entry.value;
    }
    for (std::string& text : disagreements(out)) problems.push_back({path, 0, std::move(text)});
    std::stable_sort(problems.begin() + before, problems.end(), [](const auto& a, const auto& b) {
        return std::pair(a.line == 0, a.line) < std::pair(b.line == 0, b.line);
    });
    return out;
}

std::vector<std::string> changedForNextStart(const OwnSettings& before, const OwnSettings& after) {
    OwnSettings none;
    const Schema schema = schemaOf(none);
    std::set<std::string> names;
    for (const auto* said : {&before.said, &after.said}) {
        for (const auto& [name, text] : *said) names.insert(name);
    }
    std::vector<std::string> out;
    for (const std::string& name : names) {
        const auto was = before.said.find(name), is = after.said.find(name);
        const bool same = was != before.said.end() && is != after.said.end() && was->second == is->second;
        if (!same && !schema.isLive(name)) out.push_back(name);
    }
    return out;
}

}  // namespace marldale::program
