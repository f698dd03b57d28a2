"""Layout of a site: its processes and their settings."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import pathlib
from typing import Any

import yaml

from limpetwalk.conf import document
from limpetwalk.conf import loader

from . import ports

PLATFORM_PORTS = 6
WARM_UP_SECONDS = 2.0
WARM_UP_REQUESTS = 4
PORTS_PER_NODE = 3
PORTS_PER_SERVER = 2
ENGINE_QUALITIES = (0.72, 0.93)


@dataclass(frozen=True, slots=True)
class Process:
    """Process of a site.

    :param name: unique name, also of its log and process id file.
    :param stage: start order; it starts after all processes of lower stages
        are ready.
    :param command: arguments after the Python interpreter.
    """

    name: str
    stage: int
    command: tuple[str, ...]


@dataclass(slots=True)
class Layout:
    """Processes and files of a site.

    :param processes: processes in the order of their start.
    :param files: contents by path below the site's folder, as YAML data.
    """

    processes: list[Process] = field(default_factory=list)
    files: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LayoutOptions:
    """Options of a layout.

    :param example: folder of the configuration.
    :param nodes: number of entry nodes.
    :param out: folder of the site.
    :param time_scale: factor on the durations of the stand-ins.
    """

    example: pathlib.Path
    nodes: int
    out: pathlib.Path
    time_scale: float


def read_example(path: pathlib.Path) -> document.Document:
    """Return the configuration in the folder of an example.

    :raises ValueError: when the configuration check has findings.
    """
    loaded = loader.load_document(str(path))
    if loaded.is_err():
        raise ValueError(
            "\n".join(str(finding) for finding in loaded.unwrap_err())
        )
    return loaded.unwrap()


def lay_out(options: LayoutOptions) -> Layout:
    """Choose the ports and return the layout of a site."""
    doc = read_example(options.example)
    port_numbers = iter(
        ports.free_ports(
            PORTS_PER_NODE * options.nodes
            + PORTS_PER_SERVER * len(doc.servers)
        )
    )
    layout = Layout()
    site: dict[str, Any] = {"nodes": {}, "engines": {}, "services": {}}
    platform = _add_platform(layout, site)
    _add_servers(layout, site, port_numbers, doc, options)
    _add_nodes(layout, site, port_numbers, doc, options, platform)
    layout.files["ctl.yaml"] = {"platform": platform, "operator": "demo"}
    site["ctl_settings"] = str(options.out / "ctl.yaml")
    layout.files["site.yaml"] = site
    return layout


def write(layout: Layout, out: pathlib.Path) -> None:
    """Write the files of a site and the list of its processes."""
    for name, data in layout.files.items():
        path = out / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(yaml.safe_dump(data, sort_keys=False), "utf-8")
    lines = [
        " ".join((str(process.stage), process.name, *process.command))
        for process in layout.processes
    ]
    (out / "processes").write_text("\n".join(lines) + "\n", "utf-8")


def _url(port: int) -> str:
    return f"http://{ports.HOST}:{port}"


def _add_platform(layout: Layout, site: dict[str, Any]) -> dict[str, Any]:
    control = ports.free_port_range(PLATFORM_PORTS)
    table, objects, instances, ratings, _ = range(
        control + 1, control + PLATFORM_PORTS
    )
    command = ("-m", "limpetwalk_bench.providers", f"--port={control}")
    layout.processes.append(Process("platform", 0, command))
    site["platform"] = {"url": _url(control)}
    return {
        "table": {"endpoint": _url(table)},
        "objects": {"endpoint": _url(objects)},
        "instances": {"url": f"{_url(instances)}/instances"},
        "ratings": {"url": f"{_url(ratings)}/rate"},
    }


def _add_servers(
    layout: Layout,
    site: dict[str, Any],
    port_numbers: Iterator[int],
    doc: document.Document,
    options: LayoutOptions,
) -> None:
    addresses = {}
    for name, server in doc.servers.items():
        port, control = next(port_numbers), next(port_numbers)
        addresses[name] = {
            "address": f"{ports.HOST}:{port}",
            "warmup": {
                "concurrency": WARM_UP_REQUESTS,
                "duration": WARM_UP_SECONDS,
            },
        }
        if server.service:
            settings = _service_settings(doc, server)
            kind, group = "service", "services"
        else:
            settings = _engine_settings(doc, server)
            kind, group = "engine", "engines"
        settings |= {
            "name": name,
            "port": port,
            "control_port": control,
            "time_scale": options.time_scale,
            "restart_delay": 1.0,
        }
        file = f"servers/{name}.yaml"
        layout.files[file] = settings
        command = ("-m", f"limpetwalk_bench.{kind}")
        flags = (f"--settings={options.out / file}",)
        layout.processes.append(Process(name, 0, command + flags))
        site[group][name] = {
            "url": _url(control),
            "pid_file": str(options.out / "pids" / name),
        }
    layout.files["config/99-local.yaml"] = {"servers": addresses}


def _engine_settings(
    doc: document.Document, server: document.ServerSection
) -> dict[str, Any]:
    # The model with the lowest output price gets the lower quality.
    ranked = sorted(doc.models, key=lambda name: doc.models[name].output_price)
    qualities = {
        f"{model}:{version}": {"*": ENGINE_QUALITIES[model != ranked[0]]}
        for model, versions in server.serves.items()
        for version in versions
    }
    return {
        "serves": sorted(qualities),
        "quality": qualities,
        "max_batch": server.concurrency,
        "cold_allowance": WARM_UP_REQUESTS,
        "warm_after": WARM_UP_SECONDS,
    }


def _service_settings(
    doc: document.Document, server: document.ServerSection
) -> dict[str, Any]:
    # The caller passes only servers of plain services.
    assert server.service is not None
    routes = doc.services[server.service].routes
    return {"routes": [route.model_dump() for route in routes]}


def _add_nodes(
    layout: Layout,
    site: dict[str, Any],
    port_numbers: Iterator[int],
    doc: document.Document,
    options: LayoutOptions,
    platform: dict[str, Any],
) -> None:
    zones = sorted(doc.zones)
    entries = []
    for number in range(options.nodes):
        name = f"node-{number + 1}"
        zone = zones[number % len(zones)]
        callers, operators, peers = (next(port_numbers) for _ in range(3))
        file = f"nodes/{name}.yaml"
        layout.files[file] = {
            "name": name,
            "zone": zone,
            "region": doc.zones[zone].region,
            "callers": {"host": ports.HOST, "port": callers},
            "operators": {"host": ports.HOST, "port": operators},
            "peers": {"host": ports.HOST, "port": peers},
            "platform": platform,
            "shutdown": {"balancer_wait": 1.0, "drain_timeout": 10.0},
        }
        command = ("-m", "limpetwalk_node.main")
        flags = (f"--settings={options.out / file}",)
        layout.processes.append(Process(name, 1, command + flags))
        site["nodes"][name] = {
            "url": _url(callers),
            "operators": _url(operators),
            "pid_file": str(options.out / "pids" / name),
        }
        entries.append(
            {
                "name": name,
                "kind": "entry",
                "address": f"{ports.HOST}:{peers}",
                "zone": zone,
                "state": "live",
                "operators": f"{ports.HOST}:{operators}",
            }
        )
    layout.files["instances.yaml"] = {"add": entries}
