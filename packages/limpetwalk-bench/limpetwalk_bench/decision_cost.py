"""Measures the processor time of one choice of a replica.

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
REPLICA_COUNTS = (9, 100, 1400)
ROUNDS = 5

CHOICES = flags.DEFINE_integer("choices", 5000, "Choices of one round.")


class UnusedClient:
    """Client for replicas that are chosen but never called."""

    boot_id = "boot"


def build_core(
    replica_count: int, concurrency: int
) -> dispatch_core.DispatchCore:
    """Return a dispatch core with warm replicas of one version.

    :param replica_count: number of replicas.
    :param concurrency: requests that each replica takes at once.
    """
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
        for number in range(replica_count)
    }
    version_states = {"v1": snapshot.VersionState.LIVE}
    zones = {f"z{n}": snapshot.Zone(f"z{n}", "r", state) for n in range(3)}
    snap = snapshot.Snapshot(
        "digest",
        {"small": snapshot.Model("small", version_states, "v1", 1, 1)},
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
        factory=lambda server, tuning: UnusedClient(),  # type: ignore
    )
    now = core.clock.monotonic()
    for replica in core.directory.current().by_name.values():
        report = base.LoadReport("boot", 1, 0, 8.0, 0.0)
        replica.apply_load_report(report, now)
        replica.boot.note_sent(now)
    return core


def measure_choice_us(
    core: dispatch_core.DispatchCore, affinity: bool
) -> float:
    """Return the processor time of a choice and release, in microseconds.

    This is the mean of the fastest of ``ROUNDS`` rounds.
    """
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(CHOICES.value):
            key = f"session-{number % 997}" if affinity else ""
            slot_request = admission.SlotRequest(
                VERSION, 1, core.clock.monotonic() + 60.0, key
            )
            slot = core.admission.try_acquire(slot_request)
            if slot is not None:
                core.admission.release(slot)
        elapsed = time.process_time() - started
        best = min(best, elapsed / CHOICES.value * 1e6)
    return best


def fill_replicas(core: dispatch_core.DispatchCore) -> None:
    """Occupy every slot of every replica."""
    slot_request = admission.SlotRequest(
        VERSION, 1, core.clock.monotonic() + 60.0
    )
    while core.admission.try_acquire(slot_request) is not None:
        pass


def report_lines() -> Iterator[str]:
    """Measure, and yield the lines of the report."""
    yield "# Processor time of one choice of a replica\n"
    yield (
        f"Choice and release, microseconds; least of {ROUNDS} rounds of "
        f"{CHOICES.value}.\n"
    )
    yield "| replicas | least in flight | with affinity | all full |"
    yield "|---|---|---|---|"
    for replica_count in REPLICA_COUNTS:
        core = build_core(replica_count, 10**6)
        without_affinity = measure_choice_us(core, affinity=False)
        with_affinity = measure_choice_us(core, affinity=True)
        full_core = build_core(replica_count, 2)
        fill_replicas(full_core)
        all_full = measure_choice_us(full_core, affinity=False)
        yield (
            f"| {replica_count} | {without_affinity:.1f} "
            f"| {with_affinity:.1f} | {all_full:.1f} |"
        )


def main(argv: list[str]) -> None:
    """Run the measurement and print the report."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    for line in report_lines():
        print(line, flush=True)


if __name__ == "__main__":
    app.run(main)
