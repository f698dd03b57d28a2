#!/usr/bin/env bash
# Measures the latency that an entry node adds to a non-streamed call, compared
# with a direct call and a bare pass-through, and writes a table.
set -u
cd "$(dirname "$0")/.." || exit 2
PY=${PY:-.venv/bin/python}
SITE=${SITE:-run/overhead}
OUT=${OUT:-docs/measurements}
# shellcheck source=scripts/site.sh
. scripts/site.sh
trap stop_site EXIT

start_site --example=examples/overhead --nodes="${NODES:-3}" --time_scale=0.001 || exit 1
field() { "$PY" -m limpetwalk_bench.site show --out="$SITE" "$1"; }
engine=$(field servers.engine-1)
"$PY" -m limpetwalk_bench.overhead.passthrough --target="$engine" \
    >"$SITE/logs/passthrough.out" 2>"$SITE/logs/passthrough.err" &
echo $! >"$SITE/pids/passthrough"
STARTED="$STARTED $!"
await_line passthrough || exit 1
port=$(sed -n 's/.*"http": \([0-9]*\).*/\1/p' "$SITE/logs/passthrough.out")
"$PY" -m limpetwalk_bench.overhead --engine="$engine" \
    --passthrough="http://127.0.0.1:$port" --node="$(field nodes.node-1)" \
    --key=demo-overhead --model=plain --version=swift:1 "$@" \
    --out="$OUT/overhead.md"
