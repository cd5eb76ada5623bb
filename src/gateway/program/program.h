// The command line of the gateway: sub-commands, flags (Abseil), signals.
#pragma once

namespace marldale::program {

// The exit status: 0 well, 1 a fault that the log tells, 2 a wrong command line.
int run(int argc, char** argv);

}  // namespace marldale::program
