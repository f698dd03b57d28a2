"""Cost of idle entry nodes: processor time, memory, calls to the platform.

Reads the state of the processes of a running site twice, some seconds apart,
while no caller sends a request. Run by ``scripts/idle.sh``.
"""

from dataclasses import dataclass
import json
import os
import pathlib
import statistics
import sys
import time
import urllib.request

from absl import app
from absl import flags

from limpetwalk_bench.load import workload

_SITE = flags.DEFINE_string("site", "", "site file (YAML)")
_SECONDS = flags.DEFINE_float("seconds", 10.0, "time between the readings")

KIB_PER_MIB = 1024
CALL_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Reading:
    """State of a site at one instant.

    :param read_at: monotonic time in seconds.
    :param cpu_seconds: processor time of each node since its start.
    :param memory_mib: resident memory of each node.
    :param call_counts: calls that the platform's services counted, by name.
    """

    read_at: float
    cpu_seconds: list[float]
    memory_mib: list[float]
    call_counts: dict[str, int]


def _cpu_seconds(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text("ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _memory_mib(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MIB
    return 0.0


def _fetch_call_counts(site: workload.Site) -> dict[str, int]:
    url = f"{site.platform.url}/_stats"
    with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_SECONDS) as resp:
        services = json.load(resp)
    return {
        f"{service}.{operation}": count
        for service, counts in services.items()
        for operation, count in counts.items()
    }


def read_site(site: workload.Site) -> Reading:
    """Read the state of the nodes and the call counts of the platform."""
    pids = [
        int(pathlib.Path(node.pid_file).read_text("ascii"))
        for node in site.nodes.values()
    ]
    return Reading(
        time.monotonic(),
        [_cpu_seconds(pid) for pid in pids],
        [_memory_mib(pid) for pid in pids],
        _fetch_call_counts(site),
    )


def main(argv: list[str]) -> int:
    """Print the cost of a node and the rate of calls to the platform."""
    del argv
    site = workload.read_site(pathlib.Path(_SITE.value))
    first = read_site(site)
    time.sleep(_SECONDS.value)
    last = read_site(site)
    elapsed = last.read_at - first.read_at
    cpu_percents = [
        100 * (after - before) / elapsed
        for before, after in zip(
            first.cpu_seconds, last.cpu_seconds, strict=True
        )
    ]
    print("| nodes | % of a core, mean | worst | MiB, mean | worst |")
    print("|---|---|---|---|---|")
    print(
        f"| {len(cpu_percents)} | {statistics.mean(cpu_percents):.2f} "
        f"| {max(cpu_percents):.2f} | {statistics.mean(last.memory_mib):.0f} "
        f"| {max(last.memory_mib):.0f} |"
    )
    print("\n| call | a second, all nodes | a second, each node |")
    print("|---|---|---|")
    for name in sorted(last.call_counts):
        rate = (
            last.call_counts[name] - first.call_counts.get(name, 0)
        ) / elapsed
        if rate:
            print(f"| {name} | {rate:.2f} | {rate / len(cpu_percents):.2f} |")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
