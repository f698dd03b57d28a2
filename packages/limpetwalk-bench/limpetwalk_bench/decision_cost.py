"""Measure the processor time of one choice of a replica.

``python -m limpetwalk_bench.decision_cost`` prints a table in Markdown.
"""

from collections.abc import Iterator
import random
import time

from absl import app
from absl import flags

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk.backends import base
from limpetwalk.conf import snapshot
from limpetwalk.routing import admission
from limpetwalk.routing import cold_permits
from limpetwalk.routing import dispatch_core
from limpetwalk.routing import quarantine
from limpetwalk.routing import replicas

VERSION = snapshot.ModelVersion("small", "v1")
SIZES = (9, 100, 1400)
ROUNDS = 5

CHOICES = flags.DEFINE_integer("choices", 5000, "Choices of one round.")


class NoClient:
    """Client that is never called."""

    boot_id = "boot"


def build(size: int, concurrency: int) -> dispatch_core.DispatchCore:
    """Return a core with warm replicas of one version."""
    state = snapshot.PlacementState.IN
    servers = {
        f"e{number}": snapshot.Server(
            f"e{number}",
            snapshot.ServerKind.ENGINE,
            "openai",
            f"127.0.0.1:{number + 1}",
            f"z{number % 3}",
            state,
            frozenset([VERSION]),
            "",
            concurrency,
            snapshot.WarmUp(10**9, 0.0),
            True,
        )
        for number in range(size)
    }
    live = {"v1": snapshot.VersionState.LIVE}
    zones = {f"z{n}": snapshot.Zone(f"z{n}", "r", state) for n in range(3)}
    snap = snapshot.Snapshot(
        "digest",
        {"small": snapshot.Model("small", live, "v1", 1, 1)},
        servers,
        {},
        {},
        {},
        {},
        zones,
        (),
        snapshot.Tuning(),
    )
    applied = snapshot.AppliedSnapshot(1, snap)
    core = dispatch_core.DispatchCore(
        lambda: applied,
        cold_permits.LocalPermits(lambda: 1),
        quarantine.Quarantine(),
        clocks.SystemClock(),
        metrics.Metrics(),
        random.Random(1),
        replicas.NodeContext("z0"),
        factory=lambda server, tuning: NoClient(),  # type: ignore
    )
    now = core.clock.monotonic()
    for replica in core.directory.current().by_name.values():
        report = base.LoadReport("boot", 1, 0, 8.0, 0.0)
        replica.apply_load_report(report, now)
        replica.boot.note_sent(now)
    return core


def cost_us(core: dispatch_core.DispatchCore, affinity: bool) -> float:
    """Return the least mean microseconds of a choice over some rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        begun = time.process_time()
        for number in range(CHOICES.value):
            key = f"session-{number % 997}" if affinity else ""
            need = admission.SlotRequest(
                VERSION, 1, core.clock.monotonic() + 60.0, key
            )
            slot = core.admission.try_acquire(need)
            if slot is not None:
                core.admission.release(slot)
        spent = time.process_time() - begun
        best = min(best, spent / CHOICES.value * 1e6)
    return best


def fill(core: dispatch_core.DispatchCore) -> None:
    """Leave no replica with room."""
    need = admission.SlotRequest(VERSION, 1, core.clock.monotonic() + 60.0)
    while core.admission.try_acquire(need) is not None:
        pass


def report() -> Iterator[str]:
    """Yield the lines of the report."""
    yield "# Processor time of one choice of a replica\n"
    yield (
        f"Choice and release, microseconds; least of {ROUNDS} rounds of "
        f"{CHOICES.value}.\n"
    )
    yield "| replicas | least in flight | with affinity | all full |"
    yield "|---|---|---|---|"
    for size in SIZES:
        core = build(size, 10**6)
        plain = cost_us(core, affinity=False)
        affine = cost_us(core, affinity=True)
        full = build(size, 2)
        fill(full)
        none = cost_us(full, affinity=False)
        yield f"| {size} | {plain:.1f} | {affine:.1f} | {none:.1f} |"


def main(argv: list[str]) -> None:
    """Run the measurement."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    for line in report():
        print(line, flush=True)


if __name__ == "__main__":
    app.run(main)
