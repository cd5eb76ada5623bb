#include <iostream>

#include "drill/host.h"

int main() {
    std::ios::sync_with_stdio(false);
    return marldale::drill::run(std::cin, std::cout, std::cerr);
}
