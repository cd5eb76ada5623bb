#include "gateway/gauge.h"

namespace marldale::capacity {

std::string configurationText(std::size_t routes, std::size_t services, std::uint64_t version,
                              std::uint64_t builtOn, unsigned giveUp) {
    std::string out =
        R"({"version":)" + std::to_string(version) + R"(,"built_on":)" + std::to_string(builtOn) +
        R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_wait":"3s","quiet":"15s"},"listeners":[)";
    for (std::size_t k = 0; k < routes; ++k) {
        if (k % kRoutesAHost == 0)
            out += std::string(k == 0 ? "" : "]},") + R"({"host_name":")" + hostName(k) + R"(","rules":[)";
        static constexpr const char* kKinds[] = {"read_only", "writing", "fetch_down"};
        out += std::string(k % kRoutesAHost == 0 ? "" : ",") + R"({"name":"route-)" + std::to_string(k) +
               R"(","route_kind":")" + kKinds[k % 3] +
               R"(","target":"300ms","rank":1,"match":{"path_start":")" + pathStart(k) +
               R"("},"action":{"service":")" + serviceName(k % services) + R"(","give_up":")" +
               std::to_string(k == 0 ? giveUp : 2000) + R"(ms","tries":2}})";
    }
    out += routes == 0 ? "]" : "]}]";
    out += R"(,"groups":[)";
    for (std::size_t k = 0; k < services; ++k) {
        out += std::string(k == 0 ? "" : ",") + R"({"name":")" + serviceName(k) +
               R"(","health_path":"/health","max_connections":96,"warm_up":"3s","cold_per_s":19.0})";
    }
    return out + "]}";
}

}  // namespace marldale::capacity
