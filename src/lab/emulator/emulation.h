// One run of a scenario in virtual time: boxes, relays, clients, planners and the network between them. What
// happens goes to the event log; the run itself judges nothing.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/arrivals.h"
#include "emulator/box.h"
#include "emulator/calendar.h"
#include "emulator/event_log.h"
#include "emulator/network.h"
#include "emulator/planner_link.h"
#include "emulator/relay.h"
#include "emulator/scenario.h"

namespace marldale::emulator {

// What may stand in for parts of a run that is laid beside the real thing. Empty: the model alone.
struct Outside {
    using Numbers =
        std::unordered_map<std::string, BoxNumber>;  // boxes by uid; it grows, and stays where it is
    std::function<std::unique_ptr<PlannerLink>(const Scenario&, const Start&, const Numbers&,
                                               const ListedNews&)>
        planner;
    std::function<void(Micros)> pace;  // called before anything happens, with the time at which it does
};

class Emulation {
public:
    // Throws std::runtime_error if the scenario's trace can't be read.
    Emulation(Scenario scenario, EventLog& log, Outside outside = {});
    void run();

    [[nodiscard]] const Scenario& scenario() const { return scenario_; }
    [[nodiscard]] std::uint64_t happenings() const { return calendar_.entered(); }
    // Requests that are still under way: at the end all others have ended exactly once.
    [[nodiscard]] std::size_t underWay() const { return wishes_.size() - wishesDone_; }

private:
    // Records with numbers that grow; those in front that are done are forgotten.
    template <class T>
    class Numbered {
    public:
        std::uint32_t add(T value) {
            items_.push_back(std::move(value));
            return first_ + static_cast<std::uint32_t>(items_.size()) - 1;
        }
        [[nodiscard]] T* find(std::uint32_t number) {
            return number < first_ || number - first_ >= items_.size() ? nullptr : &items_[number - first_];
        }
        void forgetDone() {
            while (!items_.empty() && items_.front().forgotten()) {
                items_.pop_front();
                ++first_;
            }
        }
        [[nodiscard]] std::size_t size() const { return first_ + items_.size(); }

    private:
        std::deque<T> items_;
        std::uint32_t first_ = 0;
    };
    struct Wish {
        std::uint32_t relay = 0, klass = 0, user = 0;  // user: from 1; 0: open loop
        double work = 0;
        Micros born = 0;
        unsigned repeats = 0, relayRetries = 0;
        std::uint32_t running = 0;  // tries
        bool done = false;
        [[nodiscard]] bool forgotten() const { return done && running == 0; }
    };
    struct Try {
        std::uint32_t wish = 0, relay = 0, klass = 0;
        BoxNumber box = 0;
        Micros begun = 0;
        double work = 0;
        std::int32_t instance = -1;                               // of the relay, when it began
        bool newConnection = false, ended = false, gone = false;  // gone: nothing can come of it any more
        [[nodiscard]] bool forgotten() const { return ended && gone; }
    };
    struct RelayState {
        RelayState(const RelaySettings& settings, Admission admission, std::uint32_t zone, std::uint64_t seed,
                   std::uint32_t number)
            : relay(settings, admission, zone, seed, number), chance(seed, "relay", number) {}
        Relay relay;
        Stream chance;
        std::int32_t instance = -1;         // -1: it has no planner
        std::uint32_t home = 0, epoch = 0;  // epoch: of its stream
        double repeatTokens = 10;
        std::vector<std::uint32_t> came, failed;  // by class, since the last report
    };
    struct OnItsWay {  // a message to a relay
        std::uint32_t instance = 0, epoch = 0;
        Message message;
        bool arrived = false;
        [[nodiscard]] bool forgotten() const { return arrived; }
    };
    struct Planner {
        std::unique_ptr<PlannerLink> instance;  // null: it is gone
        std::uint64_t incarnation = 0;
        std::uint32_t zone = 0;
        Micros stepAt = -1, pausedUntil = 0, skew = 0;
        std::uint64_t told = 0;  // version of the list
        std::map<std::pair<std::uint32_t, BoxNumber>, SumRow> sums;
        std::optional<recovery::Handover> snapshot;
        Micros snapshotAt = 0;
    };
    struct Mark {
        std::uint32_t relay = 0;
        std::uint16_t mark = 0;
        Micros took = 0;
        std::uint32_t epoch = 0;
    };
    struct Report {
        std::uint64_t incarnation = 0;
        std::vector<SumRow> sums;
        std::vector<DemandRow> demand;
    };
    struct Ongoing {  // what a fault has hold of
        std::vector<std::uint32_t> chosen;
        bool on = false, over = false;
    };

    void setUp();
    void handle(const Entry& entry);
    void log(Kind kind, std::uint32_t subject, std::uint32_t other = 0, std::uint32_t klass = 0,
             double value = 0, std::int64_t more = 0);

    // ---- Requests ----
    void arrival(std::uint32_t relay, std::uint32_t user);
    void traceArrival();
    void wish(std::uint32_t relay, std::uint32_t klass, std::uint32_t user, std::optional<double> work);
    void ask(std::uint32_t wish);
    void begin(std::uint32_t wish, std::optional<BoxNumber> but, bool byRelay);
    [[nodiscard]] std::optional<BoxNumber> bestBox(const RelayState& r, std::uint32_t klass) const;
    void atBox(std::uint32_t attempt);
    void boxDone(BoxNumber box, std::uint32_t generation);
    void answer(std::uint32_t attempt, Outcome outcome, Micros after);
    void ended(std::uint32_t attempt, Outcome outcome);
    void clientFailed(std::uint32_t wish, End end);
    void done(std::uint32_t wish, End end);
    void tryOver(std::uint32_t attempt);
    void lose(Try& attempt);

    // ---- Boxes and the list ----
    BoxNumber start(std::uint32_t place, bool cold);
    void reschedule(BoxNumber box);
    void changeState(BoxNumber box, BoxState state);
    void stopBox(BoxNumber box, bool resets);
    void replace(std::uint32_t place);
    void fall(BoxNumber box);
    void list(BoxNumber box, ServerState state);
    void tellList(std::uint32_t instance);
    void listTold(std::uint32_t instance, std::uint64_t version);
    [[nodiscard]] ListedNews whole() const;

    // ---- Relays and planners ----
    void dial(std::uint32_t relay);
    void loseStream(std::uint32_t relay, bool redials);
    void notice(std::uint32_t relay);
    void message(std::uint32_t number);
    void logHolds(std::uint32_t relay);
    void startPlanner(std::uint32_t number);
    void stopPlanner(std::uint32_t number);
    void stepSoon(std::uint32_t number, Micros at);
    void step(std::uint32_t number);
    void sumsDue();
    void sumsTold(std::uint32_t number, std::uint32_t report);
    [[nodiscard]] std::shared_ptr<const Content> standing(std::uint32_t relay);
    [[nodiscard]] std::vector<std::uint32_t> planners(std::uint32_t zone) const;

    // ---- Faults ----
    void drawFaults();
    [[nodiscard]] std::vector<std::uint32_t> choose(const Fault& fault) const;
    void faultBegins(std::uint32_t number);
    void faultEnds(std::uint32_t number);
    void faultGoesOn(std::uint32_t number, std::uint32_t times);
    void apply(const Fault& fault, Ongoing& ongoing, bool on);

    Scenario scenario_;
    const Outside outside_;
    EventLog& log_;
    Calendar calendar_;
    Micros now_ = 0;
    Arrivals arrivals_;
    Network network_;
    Stream works_, chance_;
    std::deque<Box> boxes_;
    std::vector<BoxNumber> places_;
    std::unordered_map<std::string, BoxNumber> numbers_;
    std::map<BoxNumber, Listed> list_;
    std::vector<Listed> changes_;  // by version, from 1
    int listOutages_ = 0;
    std::deque<RelayState> relays_;
    std::vector<Planner> planners_;
    Numbered<Wish> wishes_;
    Numbered<Try> tries_;
    Numbered<OnItsWay> messages_;
    std::vector<Mark> marks_;
    std::vector<Report> reports_;
    std::vector<Ongoing> ongoing_;
    std::size_t wishesDone_ = 0;
    double lateReports_ = 0, lostReports_ = 0, spoiltReports_ = 0, slowChannel_ = 1;
};

}  // namespace marldale::emulator
