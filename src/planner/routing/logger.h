// How the layers below the program speak to its log: a topic, by which lines are rate-limited, and a text.
#pragma once

#include <functional>
#include <string>

namespace marldale::routing {

using Logger = std::function<void(const char* topic, const std::string& text)>;

}  // namespace marldale::routing
