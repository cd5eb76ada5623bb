// A stand-in box for trying a replay by hand: prints its address and answers until it is ended.
#include <unistd.h>

#include <cstdio>

#include "standin/http_box.h"

int main() {
    marldale::standin::HttpBox box([](const marldale::standin::Arrived&) {
        marldale::standin::Manner manner;
        manner.delayMs = 20;
        return manner;
    });
    std::printf("%s\n", box.address().c_str());
    std::fflush(stdout);
    for (;;) pause();
}
