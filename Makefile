# Shortcuts; CMake does the work.
.PHONY: packages build test hard-days demo demo-gateway measure-grpc measure-replay measure-learning measure-emulator measure-proxy measure-plugins measure-capacity simulate soak emulate-live demo-replay fuzz sanitize tsan lint lint-all format run clean

BUILD := cmake --build

# Compiler results are shared with other clones where ccache is installed; paths below this one are cached as relative.
ifneq ($(shell command -v ccache),)
export CMAKE_C_COMPILER_LAUNCHER := ccache
export CMAKE_CXX_COMPILER_LAUNCHER := ccache
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
endif

# Installs what is missing, of Debian's packages.
packages:
	tools/packages all

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DMARLDALE_EXAMPLE=ON
	$(BUILD) build -j4

test: packages
	cmake -B build/tests -DMARLDALE_TESTS=ON -DMARLDALE_WERROR=ON
	$(BUILD) build/tests -j4
	ctest --test-dir build/tests --output-on-failure -j4

# Days on purpose, with the operators' bench: make hard-days SITE=FILE FLEETBENCH=PROGRAM POINT=3
POINT := mix
hard-days:
	tools/hard-days $(SITE) --point $(POINT) --keep build/hard-days

# A planner at work among stand-ins, one with a proxy of ours, and an emulated incident, with their charts.
demo: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	build/demo/bench/marldale_demo
	build/demo/bench/demo_proxy build/demo/proxy.svg
	build/demo/marldale emulate run scenarios/cut-during-deploy.ini --chart build/demo/incident.svg
	@echo "the incident's chart: build/demo/incident.svg; the API gateway has a demo of its own: make demo-gateway"

# The API gateway over a minute of troubles: processes of its own, stand-in servers and clients, on loopback.
demo-gateway: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4 --target demo_gateway
	build/demo/bench/demo_gateway build/demo/gateway.svg

# Real processes of the gateway under seeded troubles: make soak SEED=1 SEEDS=50; LARGE=1 with as many as a machine bears.
SEEDS := 50
LARGE :=
soak: packages
	cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DMARLDALE_GATEWAY=ONLY
	$(BUILD) target -j4 --target marldale_gateway
	tools/soak --seed $(SEED) --seeds $(SEEDS) --keep $(if $(LARGE),--proxies 150 --controllers 7 --servers 60 --clients 200 --seconds 60)

# What a planner that restarts gains from what was known, and SWIM's figures.
measure-learning: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	build/demo/bench/measure_learning

# What the incident emulator promises: the same again, theory, speed, rules, and the daemon beside the model.
measure-emulator: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	build/demo/bench/measure_emulator

# The proxy stranded from its planner, and what it costs; SECONDS_STRANDED=60 for a longer time alone.
SECONDS_STRANDED := 16
measure-proxy: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	build/demo/bench/measure_proxy $(SECONDS_STRANDED)

# Hostile hooks in a running daemon, what a benign one costs, a surge, and a thousand replacements.
measure-plugins: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	cd build/demo && bench/measure_plugins

# What the gateway's state, messages, time and memory cost by size, and what that comes to at the operators' size.
measure-capacity: packages
	cmake -B build/capacity -DCMAKE_BUILD_TYPE=Release -DMARLDALE_GATEWAY=ONLY -DMARLDALE_BENCH=ON
	$(BUILD) build/capacity -j4 --target measure_capacity
	build/capacity/measure_capacity
	tools/compare-route-change build/capacity/measure_capacity

# Whole deployments of the gateway under simulated troubles: make simulate HISTORIES=100000 SEED=1
HISTORIES := 10000
SEED := 1
simulate: packages
	cmake -B build/simulate -DCMAKE_BUILD_TYPE=Release -DMARLDALE_GATEWAY=ONLY -DMARLDALE_TESTS=ON
	$(BUILD) build/simulate -j4 --target simulate
	build/simulate/simulate $(HISTORIES) $(SEED)

# An incident in the model and with the daemon over loopback sockets, in real time: make emulate-live SCENARIO=FILE
SCENARIO := scenarios/half-a-minute.ini
emulate-live: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4 --target emulate_live
	build/demo/bench/emulate_live $(SCENARIO)

# From a log to a replay.
demo-replay: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	example/replay.sh build/demo

# The promises of the gRPC front, played and counted; ends with 1 where one breaks.
measure-grpc: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	build/demo/bench/measure_grpc

# The promises of recorded traffic and its replay; LARGE=1024 for the large file of the issue, out of CI.
LARGE := 200
measure-replay: packages
	cmake -B build/demo -DCMAKE_BUILD_TYPE=Release -DMARLDALE_BENCH=ON
	$(BUILD) build/demo -j4
	build/demo/bench/measure_replay $(LARGE)

sanitize:
	cmake -B build/sanitize -DCMAKE_BUILD_TYPE=Debug -DMARLDALE_TESTS=ON -DMARLDALE_WERROR=ON -DMARLDALE_SANITIZE=ON
	$(BUILD) build/sanitize -j4
	ctest --test-dir build/sanitize --output-on-failure -j4

# Every reader of bytes under libFuzzer, a bounded number of runs; RUNS=1000000 for a long look.
fuzz: packages
	cmake -B build/fuzz -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	  -DMARLDALE_FUZZ=ON -DMARLDALE_GRPC=OFF
	$(BUILD) build/fuzz -j4 --target fuzz_configuration fuzz_format fuzz_frame fuzz_handover fuzz_har fuzz_heartbeat fuzz_http fuzz_journal fuzz_json fuzz_log fuzz_orders fuzz_rules fuzz_scenario fuzz_settings fuzz_snapshot fuzz_stamp fuzz_tables fuzz_trace fuzz_wishes
	fuzz/run build/fuzz

# What crosses threads: the queue, the module's thread, the gRPC front.
tsan:
	cmake -B build/tsan -DCMAKE_BUILD_TYPE=Debug -DMARLDALE_TESTS=ON -DMARLDALE_WERROR=ON -DMARLDALE_TSAN=ON
	$(BUILD) build/tsan -j4 --target routing_test grpc_hard_test grpc_thread_test grpc_peers_test engine_test lab_test proxy_platform_test hook_program_test gateway_test
	ctest --test-dir build/tsan --output-on-failure -R '^(Queue|PlannerThreadTest)\.'
	TSAN_OPTIONS="ignore_noninstrumented_modules=1 suppressions=$(CURDIR)/tests/tsan.supp" \
	ctest --test-dir build/tsan --output-on-failure -j4 -R '^(Grpc(Thread|Hard|Crowd|End|Peers)|EngineTest|PlatformTest)\.|^Lab\.(What|AKilled|AFile)|^HookProgram\.(AHook|AWorker)|^gateway\.(Disk writer|A storm)'

SOURCES := $(shell git ls-files '*.cpp' '*.h')

# The formatter over all sources; clang-tidy, warnings as errors, over the gateway, the base packages and the decision module.
lint: packages
	tools/lint

# clang-tidy over the other packages as well; they have warnings yet.
lint-all: packages
	cmake -B build/tests -DMARLDALE_TESTS=ON
	$(BUILD) build/tests -j4 --target gateway_proto
	clang-tidy -p build/tests --quiet --extra-arg=-Wno-unknown-warning-option --warnings-as-errors=-* \
	  --header-filter='src/.*' $(filter src/%.cpp,$(SOURCES))

format:
	clang-format -i $(SOURCES)

run: build
	RELAY_CONFIG=example/config.json build/marldale

clean:
	rm -rf build
