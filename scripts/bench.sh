#!/usr/bin/env bash
# Runs the quick measurements one after the other. Each writes its table,
# under the command that repeats it, to a page in OUT.
set -u
cd "$(dirname "$0")/.." || exit 2
export PY=${PY:-.venv/bin/python}
export OUT=${OUT:-docs/measurements}
export COLUMNS=79
mkdir -p "$OUT"
failed=0

# Runs one measurement module: page, then module with its flags.
measure() {
    page="$OUT/$1.md"
    shift
    echo "measuring: python -m $*"
    if "$PY" -m "$@" >"$page.new" 2>"$page.err"; then
        {
            printf '# %s\n\nCommand: `python -m %s`\n\n```\n' \
                "$(basename "$page" .md)" "$*"
            cat "$page.new"
            printf '```\n'
        } >"$page"
        rm -f "$page.err"
    else
        echo "failed:" >&2
        tail -n 5 "$page.err" >&2
        failed=1
    fi
    rm -f "$page.new"
}

measure decision-cost limpetwalk_bench.decision_cost
measure config-cost limpetwalk_bench.config_cost
measure table-call-cost limpetwalk_bench.client_cost
measure ledger-rate limpetwalk_bench.ledger_rate
measure mesh-cost limpetwalk_bench.mesh_cost --seconds=5
measure propagation limpetwalk_bench.propagation
measure choice limpetwalk_bench.choice
measure guards limpetwalk_bench.experiments.guards --trials=60 \
    --plot="$OUT/guards.png"
bash scripts/overhead.sh || failed=1
exit $failed
