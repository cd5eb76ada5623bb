// marldale_trace: what `marldale trace` and `marldale replay` run.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "sources/import_settings.h"
#include "trace_program/commands.h"

namespace {

using namespace marldale::trace_program;  // the program's own commands

void addTrace(CLI::App& trace, int& status) {
    trace.require_subcommand(1);
    {
        auto asked = std::make_shared<ImportAsked>();
        auto* c = trace.add_subcommand("import", "Read access logs and HAR files into a trace");
        c->add_option("files", asked->files, "Files, in the order of their rotation; - is standard input")
            ->required();
        c->add_option("--to", asked->to, "The trace to write")->required();
        c->add_option("--rules", asked->rules, "INI file with classes, log format and limits");
        c->add_option("--bad", asked->badFile, "Write every bad entry with its place into this file");
        c->add_flag("--follow", asked->follow, "The file is still being written, and may be rotated");
        c->add_option("--follow-for", asked->followForS, "Seconds to follow it for; 0: until SIGINT")
            ->check(CLI::Range(0, 86400));
        c->callback([asked, &status] { status = importCommand(*asked); });
    }
    {
        auto asked = std::make_shared<ClassifyAsked>();
        auto* c = trace.add_subcommand("classify", "Show which entries fit which class, and which fit none");
        c->add_option("files", asked->files, "Logs or HAR files")->required();
        c->add_option("--rules", asked->rules, "INI file with classes")->required();
        c->add_option("--examples", asked->examples, "Examples to show of each class")
            ->check(CLI::Range(0, 100));
        c->callback([asked, &status] { status = classifyCommand(*asked); });
    }
    {
        auto asked = std::make_shared<ShowAsked>();
        auto* c = trace.add_subcommand("show", "Print entries of a trace");
        c->add_option("trace", asked->trace)->required();
        c->add_option("--from", asked->from, "A time, or seconds from the beginning");
        c->add_option("--until", asked->until, "The same");
        c->add_option("--most", asked->most, "Entries to print");
        c->add_flag("--retries", asked->chains, "Only further tries");
        c->callback([asked, &status] { status = showCommand(*asked); });
    }
    {
        auto asked = std::make_shared<StatsAsked>();
        auto* c = trace.add_subcommand("stats", "Rates, gaps, durations, clients and chains of a trace");
        c->add_option("trace", asked->trace)->required();
        c->add_option("--bin", asked->binS, "Seconds of a span of the rates")
            ->check(CLI::Range(0.001, 86400.0));
        c->add_option("--plot", asked->plot, "Draw the rates into this .svg or .png file");
        c->add_option("--plots", asked->plots,
                      "Draw rates, gaps, durations, clients and chains into this folder");
        c->add_flag("--json", asked->json, "Print JSON");
        c->callback([asked, &status] { status = statsCommand(*asked); });
    }
    {
        auto asked = std::make_shared<CutAsked>();
        auto* c = trace.add_subcommand("cut", "A part of a trace by time");
        c->add_option("trace", asked->trace)->required();
        c->add_option("--to", asked->to)->required();
        c->add_option("--from", asked->from, "A time, or seconds from the beginning");
        c->add_option("--until", asked->until, "The same");
        c->callback([asked, &status] { status = cutCommand(*asked); });
    }
    {
        auto asked = std::make_shared<MergeAsked>();
        auto* c = trace.add_subcommand("merge", "Several traces as one, by time");
        c->add_option("traces", asked->traces)->required();
        c->add_option("--to", asked->to)->required();
        c->callback([asked, &status] { status = mergeCommand(*asked); });
    }
    {
        auto asked = std::make_shared<ScaleAsked>();
        auto* c = trace.add_subcommand("scale", "Thin or thicken a trace by whole chains");
        c->add_option("trace", asked->trace)->required();
        c->add_option("--to", asked->to)->required();
        c->add_option("--share", asked->share, "0.1: a tenth of the wishes; 3: each three times")
            ->required()
            ->check(CLI::Range(0.0, 1000.0));
        c->add_option("--seed", asked->seed);
        c->callback([asked, &status] { status = scaleCommand(*asked); });
    }
    auto* keys = trace.add_subcommand("rules", "Print every key of the rules' file as a table");
    keys->callback([] {
        marldale::sources::ImportSettings settings;
        std::cout << marldale::sources::importSchema(settings).table();
    });
}

void addReplay(CLI::App& replay, int& status) {
    auto asked = std::make_shared<ReplayAsked>();
    auto& a = *asked;
    replay.add_option("trace", a.trace)->required();
    replay.add_option("--target", a.targets, "A box: ADDRESS:PORT; several: a client stays with one");
    replay.add_option("--allow", a.allow, "A target that is not loopback, named once more");
    replay.add_option("--journal", a.journal,
                      "What is sent of classes that must not run twice; the same file resumes");
    replay.add_option("--sync", a.sync, "When the journal is on the disk")
        ->check(CLI::IsMember({"each", "none"}));
    replay.add_option("--speed", a.plan.schedule.speed, "Recorded seconds in one second")
        ->check(CLI::Range(0.001, 10000.0));
    replay.add_option("--from", a.from, "Of the record: a time, or seconds from the beginning");
    replay.add_option("--until", a.until, "The same");
    replay.add_option("--loops", a.plan.schedule.loops)->check(CLI::Range(1, 1000000));
    replay.add_option("--loop-gap", a.loopGapS, "Recorded seconds between two loops")
        ->check(CLI::Range(0.0, 86400.0));
    replay.add_option("--share", a.shares, "CLASS=SHARE of its wishes, 0 to 100");
    replay.add_option("--seed", a.plan.schedule.seed, "Of the choice of wishes");
    replay.add_option("--tries", a.tries, "recorded: as they were; first: further ones by the answers")
        ->check(CLI::IsMember({"recorded", "first"}));
    replay
        .add_option("--unknown", a.unknown,
                    "Entries of classes that must not run twice, whose outcome was not recorded")
        ->check(CLI::IsMember({"leave-out", "once"}));
    replay.add_option("--rate-most", a.plan.ratePerS, "Requests a second")->check(CLI::Range(0.1, 1e6));
    replay.add_option("--in-flight-most", a.plan.inFlightMost)->check(CLI::Range(1, 100000));
    replay.add_option("--connections-most", a.engine.connectionsMost)->check(CLI::Range(1, 60000));
    replay.add_option("--wait-most", a.waitS, "Seconds after which a request that could not go is given up")
        ->check(CLI::Range(0.0, 3600.0));
    replay.add_option("--answer-within", a.answerS, "Seconds for an answer")
        ->check(CLI::Range(0.001, 3600.0));
    replay.add_option("--duration-most", a.durationS, "Seconds of the replay")
        ->check(CLI::Range(0.001, 604800.0));
    replay.add_option("--bytes-most", a.engine.bytesMost, "Bytes of replies");
    replay.add_option("--drain-within", a.drainS, "Seconds for what is out at the end")
        ->check(CLI::Range(0.0, 3600.0));
    replay.add_option("--results", a.results, "JSON file with all figures");
    replay.add_option("--csv", a.csv, "CSV file with each second's figures");
    replay.add_option("--plot", a.plot, "Chart of the rates, .svg or .png");
    replay.add_option("--planner", a.planner,
                      "In place of boxes: a planner's address, to which the trace is told as load");
    replay.add_option("--planner-zones", a.plannerZones, "Its zones")->delimiter(',');
    replay.add_option("--planner-relays", a.plannerRelays, "Relays that clients are dealt to")
        ->check(CLI::Range(1, 100000));
    replay.add_option("--planner-boxes", a.plannerBoxes, "File with a line `UID ZONE` for each box");
    replay.add_option("--planner-every", a.plannerEveryS, "Seconds between reports")
        ->check(CLI::Range(0.01, 60.0));
    replay.add_flag("--quiet", a.quiet, "No progress");
    replay.callback([asked, &status] { status = replayCommand(*asked); });
}

void addKnowledge(CLI::App& knowledge, int& status) {
    knowledge.require_subcommand(1);
    auto asked = std::make_shared<KnowledgeAsked>();
    auto* show = knowledge.add_subcommand("show", "Print a snapshot");
    show->add_option("snapshot", asked->snapshot)->required();
    show->add_flag("--json", asked->json);
    show->callback([asked, &status] { status = showKnowledgeCommand(*asked); });
    auto* diff =
        knowledge.add_subcommand("diff", "What differs between two snapshots; status 1 if anything does");
    diff->add_option("snapshot", asked->snapshot)->required();
    diff->add_option("other", asked->other)->required();
    diff->callback([asked, &status] { status = diffKnowledgeCommand(*asked); });
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is told by the write's error
    CLI::App app("Recorded traffic: into a trace, through it, and played again.", "marldale");
    app.require_subcommand(1);
    int status = 0;
    addTrace(*app.add_subcommand("trace", "Traces of recorded traffic"), status);
    addReplay(*app.add_subcommand("replay", "Play a trace against boxes"), status);
    addKnowledge(*app.add_subcommand("knowledge", "Snapshots of what a planner knows"), status);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kRight : kMisunderstood;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "marldale: %s\n", e.what());
        return kFailed;
    }
    return status;
}
