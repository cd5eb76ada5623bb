#!/usr/bin/env bash
# From a log to a replay, with a small log made here and a stand-in box: `make demo-replay` runs it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/demo}
dir=$(mktemp -d)
"$build/bench/standin_box" > "$dir/address" &
box=$!
trap 'kill "$box" 2>/dev/null; rm -rf "$dir"' EXIT
"$build/bench/write_surge" "$dir/access.log" "$dir/rules.ini" 60
until [ -s "$dir/address" ]; do sleep 0.05; done

set -x
"$build/marldale" trace classify "$dir/access.log" --rules "$dir/rules.ini"
"$build/marldale" trace import "$dir/access.log" --to "$dir/surge.trace" --rules "$dir/rules.ini"
"$build/marldale" trace stats "$dir/surge.trace"
"$build/marldale" replay "$dir/surge.trace" --target "$(cat "$dir/address")" --speed 10 --journal "$dir/journal" --quiet
