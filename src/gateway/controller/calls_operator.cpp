// The calls of operators: replacing and reading the configuration, emptying zones, and the status.
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "gateway/controller/calls.h"
#include "gateway/controller/controller.h"

namespace marldale::controller {
namespace {

void replaceSettings(Controller& controller, const Request& request, ReplyCallback sendReply) {
    // Refused here and not by the parser: a log may hold such a text that was acknowledged.
    if (const auto nul = request.body.find('\0'); nul != std::string::npos) {
        return controller.refuse(problemReply(400, absl::StrCat("byte ", nul, ": no JSON text has a NUL")),
                                 "invalid configuration", std::move(sendReply));
    }
    const auto read = configuration::parseConfigurationCached(request.body);
    if (!read.ok()) {
        return controller.refuse(problemReply(400, std::string(read.status().message())),
                                 "invalid configuration", std::move(sendReply));
    }
    std::string description = absl::StrCat("version ", read->version, " on ", read->builtOn);
    std::uint64_t builtOn = 0;
    if (!request.builtOn.empty() &&
        (!absl::SimpleAtoi(request.builtOn, &builtOn) || builtOn != read->builtOn)) {
        return controller.refuse(problemReply(412, "X-Built-On names another version than built_on"),
                                 std::move(description), std::move(sendReply));
    }
    controller.change(configuration::replaceChange(request.body), std::move(description),
                      std::move(sendReply));
}

void readSettings(Controller& controller, const Request& /*request*/, ReplyCallback sendReply) {
    controller.read(std::move(sendReply));
}

void changeZone(Controller& controller, const Request& request, ReplyCallback sendReply, bool empty) {
    if (!controller.settings().zones.count(request.argument))
        return sendReply(problemReply(404, "no such zone"));
    controller.change(configuration::zoneChange(request.argument, empty),
                      absl::StrCat(empty ? "empty zone " : "reopen zone ", request.argument),
                      std::move(sendReply));
}
void beginEmptyZone(Controller& controller, const Request& request, ReplyCallback sendReply) {
    changeZone(controller, request, std::move(sendReply), true);
}
void finishEmptyZone(Controller& controller, const Request& request, ReplyCallback sendReply) {
    changeZone(controller, request, std::move(sendReply), false);
}

void status(Controller& controller, const Request& /*request*/, ReplyCallback sendReply) {
    sendReply({200, controller.status(), {}});
}

}  // namespace

const Call kSettingsReplace = {"POST", "/-/Settings.Replace",
                               "replaces the whole configuration, built on a given version", replaceSettings};
const Call kSettingsRead = {"GET", "/-/Settings.Read", "returns the newest configuration in full",
                            readSettings};
const Call kEmptyZoneBegin = {"POST", "/-/EmptyZone.Begin/", "stops sending requests to a zone's servers",
                              beginEmptyZone};
const Call kEmptyZoneFinish = {"POST", "/-/EmptyZone.Finish/", "sends requests to an emptied zone again",
                               finishEmptyZone};
const Call kStatus = {
    "GET", "/-/Status",
    "returns the leader, the version in force, the bound edge proxies and the known servers", status};

}  // namespace marldale::controller
