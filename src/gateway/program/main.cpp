// marldale edge-proxy | controller | check FILE... | calls
#include "gateway/program/program.h"

int main(int argc, char** argv) { return marldale::program::run(argc, argv); }
