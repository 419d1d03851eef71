"""Runs scripted scenarios on complete nodes in one process.

A scenario is a YAML file: a manifest, nodes with backend servers, and steps.
Each step adds lines to a transcript, which is compared with a golden file.
Steps:

    request: {node, method, path, headers, body, times}
        sends the request `times` times, one after the other
    together: [request, ...]
        sends the requests concurrently
    store: {down: true, ...}
        sets the fault of the store
    apply: {kind, field, value}
        changes one field of a kind in the manifest
    stop: NODE
        stops a node as SIGTERM does
    leave: NODE
        stops the backend server beside a node from accepting requests
    ledger: [KIND, ...]
        adds how often the backend servers completed each kind
"""

import pathlib
import socket
from collections.abc import Mapping
from typing import Any

import gevent
import yaml
from gevent import event

from flamingolug import kernel
from flamingolug import manifest
from flamingolug import operations
from flamingolug import ownership
from flamingolug import settings
from flamingolug import store
from flamingolug import timing
from flamingolug import web
from flamingolug.node import _http_frontend
from flamingolug.node import _plugins
from flamingolug.node import _program
from flamingolug.node import _upstream
from flamingolug_standins import backend
from flamingolug_standins import store_program

_HOST = "127.0.0.1"
PEER_KEY = "a key for scenarios only"
_READY_TIMEOUT_S = 30.0
_REQUEST_TIMEOUT_S = 15.0
_MAX_BODY_BYTES = 1_000_000
_SHOWN_HEADERS = ("flamingolug-outcome", "flamingolug-reason")


class _Node:
    """One node and the backend server beside it."""

    def __init__(
        self, spec: Mapping[str, Any], store_url: str, incarnation: int
    ) -> None:
        self.spec = spec
        self.stopped = False
        self.timers = timing.GeventTimers()
        self.http = free_address()
        peer = free_address()
        self.cfg = settings.parse(
            yaml.safe_dump(
                {
                    "name": spec["name"],
                    "region": "test",
                    "availability_zone": spec["zone"],
                    "http_address": self.http,
                    "peer_address": peer,
                    "peer_key": PEER_KEY,
                    "store_url": store_url,
                }
            ),
            "scenario",
        )
        self.kernel = kernel.Kernel(
            kernel.registered(),
            {
                "settings": self.cfg,
                "timers": self.timers,
                "identity": _plugins.Identity(incarnation),
                "stop": event.Event(),
            },
        )
        self.kernel.start()
        self.backend = backend.Backend(
            backend.BackendConfig(
                name=spec["name"],
                service=spec["service"],
                address=free_address(),
                node=self.http,
                slots=spec.get("slots", 4),
                connections=50,
                kinds={
                    name: backend.KindConfig(**config)
                    for name, config in spec["kinds"].items()
                },
                jitter=0.0,
            )
        )
        self.backend.start()
        self.pool = web.Pool(_HOST, int(self.http.rpartition(":")[2]))

    def stop(self) -> None:
        """Stops the node gracefully, as SIGTERM does."""
        _program.stop_gracefully(self.kernel, self.cfg)


class ScenarioRun:
    """One run of a scenario."""

    def __init__(self, path: pathlib.Path) -> None:
        """Reads the scenario; starts its store, nodes and backend servers."""
        self._spec = yaml.safe_load(path.read_text(encoding="utf-8"))
        self.lines: list[str] = []
        self._store = store_program.MemoryStore()
        address = free_address()
        self.store_url = f"http://{address}"
        host, _, port = address.rpartition(":")
        self._store_server = web.Server(
            host, int(port), self._store.application
        )
        self._store_server.start()
        self._manifest = manifest.parse(
            yaml.safe_dump(self._spec["manifest"]), path.name
        )
        self._nodes = {
            spec["name"]: _Node(spec, self.store_url, index + 1)
            for index, spec in enumerate(self._spec["nodes"])
        }
        self._apply_manifest()
        self._wait_ready()

    def run(self) -> list[str]:
        """Runs the steps and returns the transcript."""
        for step in self._spec["steps"]:
            for name, value in step.items():
                getattr(self, f"_step_{name}")(value)
        return self.lines

    def node_addresses(self) -> list[str]:
        """Returns the HTTP addresses of all nodes."""
        return [node.http for node in self._nodes.values()]

    def set_store_fault(self, fault: Mapping[str, Any]) -> None:
        """Sets the fault of the store; an empty one restores it."""
        self._store.fault = store_program.Fault(**fault)

    def close(self) -> None:
        """Stops all nodes and servers that are still running."""
        for node in self._nodes.values():
            node.backend.stop()
            node.timers.stop()
            if node.stopped:
                continue
            node.kernel.get("front", _http_frontend.HttpFrontend).server.stop(
                0.0
            )
            node.kernel.stop()
        self._store_server.stop(0.0)

    def _step_request(self, spec: Mapping[str, Any]) -> None:
        for _ in range(spec.get("times", 1)):
            self.lines.append(self._request(spec))

    def _step_together(self, specs: list[Mapping[str, Any]]) -> None:
        tasks = [gevent.spawn(self._request, spec) for spec in specs]
        gevent.joinall(tasks, raise_error=True)
        self.lines.extend(sorted(str(task.get()) for task in tasks))

    def _step_store(self, fault: Mapping[str, Any]) -> None:
        self.set_store_fault(fault)
        self.lines.append(f"store {dict(fault)}")

    def _step_apply(self, change: Mapping[str, Any]) -> None:
        kinds = dict(self._manifest.kinds)
        kind = kinds[change["kind"]]
        kinds[kind.name] = kind._replace(**{change["field"]: change["value"]})
        self._manifest = self._manifest._replace(kinds=kinds)
        state = self._apply_manifest()
        self.lines.append(
            f"apply {change['kind']}.{change['field']}={change['value']} "
            f"-> {state}"
        )

    def _step_stop(self, name: str) -> None:
        node = self._nodes[name]
        node.stop()
        node.stopped = True
        self.lines.append(f"stop {name}")

    def _step_leave(self, name: str) -> None:
        self._nodes[name].backend.leave()
        self.lines.append(f"leave {name}")

    def _step_ledger(self, kinds: list[str]) -> None:
        for kind in kinds:
            count = sum(
                entry.kind == kind and entry.completed
                for node in self._nodes.values()
                for entry in node.backend.ledger
            )
            self.lines.append(f"ledger {kind}: {count}")

    def _request(self, spec: Mapping[str, Any]) -> str:
        """Sends one request and returns its line of the transcript."""
        node = self._nodes[spec["node"]]
        headers = list(spec.get("headers", {}).items())
        response = web.send_request(
            node.pool,
            spec["method"],
            spec["path"],
            [(name, str(value)) for name, value in headers],
            str(spec.get("body", "")).encode(),
            timeout_s=_REQUEST_TIMEOUT_S,
            max_body_bytes=_MAX_BODY_BYTES,
        )
        shown = [response.header(name) for name in _SHOWN_HEADERS]
        if spec["path"].startswith("/-/"):
            shown.append(response.body.decode())
        text = " ".join(each for each in shown if each)
        return f"{spec['method']} {spec['path']} -> {response.status} {text}"

    def _apply_manifest(self) -> str:
        result = operations.apply_manifest(
            store.HttpStore(self.store_url),
            self._manifest,
            operations.Author("scenario", 0.0),
            None,
            gevent.sleep,
        )
        if result.accepted is None:
            return str(result.state)
        fleet = operations.Fleet(self.node_addresses(), "")
        done, _ = fleet.wait_until_active(
            result.accepted.revision, _READY_TIMEOUT_S
        )
        return "in force" if done else "spreading"

    def _wait_ready(self) -> None:
        """Waits until every node lists all members and its service's owners."""
        expected = {
            (spec["name"], spec["service"]) for spec in self._spec["nodes"]
        }
        with gevent.Timeout(_READY_TIMEOUT_S):
            while not all(
                self._is_ready(node, expected) for node in self._nodes.values()
            ):
                gevent.sleep(0.05)

    def _is_ready(self, node: _Node, expected: set[tuple[str, str]]) -> bool:
        upstream = node.kernel.get("upstream", _upstream.LocalUpstream)
        table = upstream.members.table
        listed = {(each.name, each.service) for each in table.all()}
        expected_owners = {
            name
            for name, service in expected
            if service == node.spec["service"]
        }
        owners = map(ownership.name_of, upstream.owners.voter.view.members)
        return expected <= listed and expected_owners <= set(owners)


def free_address() -> str:
    """Returns a loopback address whose port is free now."""
    with socket.socket() as sock:
        sock.bind((_HOST, 0))
        return f"{_HOST}:{sock.getsockname()[1]}"
