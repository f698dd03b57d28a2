"""Cost of a configuration by its size: bytes, time to check and compile.

Run: ``python -m limpetwalk_bench.config_cost``
"""

from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
import gc
import hashlib
import json
import pathlib
import statistics
import tempfile
import time
import tracemalloc
from typing import Any
import zlib

from absl import app
from absl import flags
from rich import console
from rich import table as tables
import yaml

from limpetwalk.conf import compiler
from limpetwalk.conf import loader

FLAGS = flags.FLAGS
flags.DEFINE_list(
    "servers", ["8", "100", "350", "700", "1400"], "Numbers of servers."
)
flags.DEFINE_integer("repeats", 5, "Runs of which the median is taken.")
flags.DEFINE_bool("json", False, "Print JSON in place of a table.")

REGIONS = 7
ZONES = 22
MODELS = 15
VERSIONS = 31
WORKSPACES = 200
CHANGES_PER_DAY = 840
SECONDS_PER_DAY = 86400
BYTES_PER_KIB = 1024
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one configuration; times are medians.

    :param servers: number of backend servers.
    :param yaml_kib: size of the YAML files.
    :param document_kib: size of the document.
    :param packed_kib: size of the compressed document, as nodes fetch it.
    :param check_ms: time to read, merge, validate and check the folder.
    :param compile_ms: time to compile the document to a snapshot.
    :param snapshot_kib: memory that the snapshot takes.
    :param node_bytes_a_second: mean bytes a second that a node fetches for
        840 changes a day.
    """

    servers: int
    yaml_kib: float
    document_kib: float
    packed_kib: float
    check_ms: float
    compile_ms: float
    snapshot_kib: float
    node_bytes_a_second: float


def make_sections(servers: int) -> dict[str, dict[str, Any]]:
    """Return the sections of a site's configuration by file name."""
    zones = {
        f"zone-{number}": {"region": f"region-{number % REGIONS}"}
        for number in range(ZONES)
    }
    versions: dict[str, list[str]] = {}
    for number in range(VERSIONS):
        model_versions = versions.setdefault(f"model-{number % MODELS}", [])
        model_versions.append(f"2026-{len(model_versions) + 1:02d}")
    model_names = sorted(versions)
    models = {
        name: {
            "versions": {version: {} for version in model_versions},
            "default_version": model_versions[0],
            "input_price": 100,
            "output_price": 400,
        }
        for name, model_versions in versions.items()
    }
    engines = {
        f"engine-{number:04d}": {
            "kind": "engine",
            "protocol": "openai",
            "address": f"10.{number // 250}.0.{number % 250 + 1}:8000",
            "zone": f"zone-{number % ZONES}",
            "serves": {
                model_names[number % MODELS]: list(
                    versions[model_names[number % MODELS]]
                )
            },
            "concurrency": 24,
            "warmup": {"concurrency": 2, "duration": 45},
        }
        for number in range(servers)
    }
    cascades = {
        f"public-{number}": {
            "policy": "adaptive",
            "models": [
                model_names[number % MODELS],
                model_names[(number + 1) % MODELS],
            ],
            "target": 0.8,
        }
        for number in range(MODELS)
    }
    workspaces = {
        f"workspace-{number}": {
            "key_digests": [hashlib.sha256(bytes([number])).hexdigest()],
            # Copies, because YAML writes a shared list as an alias.
            "models": list(model_names),
            "cascades": sorted(cascades),
        }
        for number in range(WORKSPACES)
    }
    return {
        "10-zones.yaml": {"zones": zones},
        "20-models.yaml": {"models": models},
        "30-servers.yaml": {"servers": engines},
        "40-cascades.yaml": {"cascades": cascades},
        "50-workspaces.yaml": {"workspaces": workspaces},
        "60-sessions.yaml": {"session_keys": {"k1": {"secret": "s" * 32}}},
    }


def measure(servers: int, repeats: int) -> Cost:
    """Return the cost of a configuration with the given backend servers.

    :param servers: number of backend servers.
    :param repeats: runs of which the median time is taken.
    """
    with tempfile.TemporaryDirectory() as folder:
        yaml_bytes = 0
        for name, sections in make_sections(servers).items():
            content = yaml.safe_dump(sections)
            yaml_bytes += pathlib.Path(folder, name).write_text(content)
        data = loader.load_document(folder).unwrap().to_bytes()
        check_ms = _median_ms(lambda: loader.load_document(folder), repeats)
    packed = len(zlib.compress(data))
    compile_ms = _median_ms(lambda: compiler.compile_document(data), repeats)
    return Cost(
        servers=servers,
        yaml_kib=yaml_bytes / BYTES_PER_KIB,
        document_kib=len(data) / BYTES_PER_KIB,
        packed_kib=packed / BYTES_PER_KIB,
        check_ms=check_ms,
        compile_ms=compile_ms,
        snapshot_kib=_snapshot_kib(data),
        node_bytes_a_second=packed * CHANGES_PER_DAY / SECONDS_PER_DAY,
    )


def _median_ms(operation: Callable[[], object], repeats: int) -> float:
    times = []
    for _ in range(repeats):
        start = time.perf_counter()
        operation()
        times.append(time.perf_counter() - start)
    return statistics.median(times) * MS_PER_SECOND


def _snapshot_kib(data: bytes) -> float:
    gc.collect()
    tracemalloc.start()
    compiled = compiler.compile_document(data)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del compiled
    return size / BYTES_PER_KIB


def _print_table(costs: list[Cost]) -> None:
    table = tables.Table(box=None)
    for column in (
        "servers",
        "YAML KiB",
        "document KiB",
        "packed KiB",
        "check ms",
        "compile ms",
        "snapshot KiB",
        "B/s a node",
    ):
        table.add_column(column, justify="right")
    for cost in costs:
        values = list(asdict(cost).values())
        table.add_row(
            str(values[0]), *(f"{value:.1f}" for value in values[1:])
        )
    console.Console().print(table)


def main(argv: list[str]) -> None:
    """Measure each number of servers and print the costs."""
    costs = [measure(int(servers), FLAGS.repeats) for servers in FLAGS.servers]
    if FLAGS.json:
        print(json.dumps([asdict(cost) for cost in costs], indent=2))
    else:
        _print_table(costs)


if __name__ == "__main__":
    app.run(main)
