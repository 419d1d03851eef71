"""Runs a small deployment: a store, nodes, backend servers and relays.

The product itself starts no processes. This module does, and it signals only
processes that it started.
"""

import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import gevent
import msgspec

from flamingolug import errors
from flamingolug import manifest
from flamingolug import operations
from flamingolug import peers
from flamingolug import store
from flamingolug import web
from flamingolug_standins import backend

PEER_KEY = "bench key, not a secret"
HOST = "127.0.0.1"
READY_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 10.0
#: Ports reserved for each kind of address, counted up from the base port: the
#: store and `NodePlan.http`, `NodePlan.peer`, `NodePlan.backend`,
#: `NodePlan.peer_bind` behind relays, and the control endpoint of the relays.
_PORT_RANGE = 1_000


class ServicePlan(NamedTuple):
    """One service of a deployment."""

    #: Empty for nodes without a backend server.
    name: str
    #: Availability zone of each backend server instance.
    zones: tuple[str, ...]
    #: Slots and connection limit of each backend server instance.
    slots: int
    connections: int


class DeploymentPlan(NamedTuple):
    """The processes of a deployment and their settings."""

    manifest: manifest.Manifest
    services: tuple[ServicePlan, ...]
    #: Setting `control` of the nodes: `full`, or `none` for nodes without
    #: admission control (the baseline).
    control: str = "full"
    #: Lowest port of the deployment, that of the store.
    base_port: int = 20_000
    #: Fields of `BackendConfig` to replace, by name of the backend server.
    backend_changes: Mapping[str, Mapping[str, Any]] = {}
    #: Without a store, the start neither waits for the nodes nor applies the
    #: manifest.
    with_store: bool = True
    #: Without backend servers, their addresses are announced all the same if
    #: there is a store.
    with_backends: bool = True
    #: Whether a relay that can inject faults serves each peer address.
    with_relays: bool = False
    log_level: str = "warning"


class NodePlan(NamedTuple):
    """One node and the addresses (host:port) of it and its backend server."""

    name: str
    service: str
    zone: str
    http: str
    peer: str
    #: Address that the node binds; differs from `peer` behind a relay.
    peer_bind: str
    backend: str


class Deployment:
    """Starts and stops the processes of a deployment; a context manager."""

    def __init__(self, plan: DeploymentPlan) -> None:
        """Assigns the addresses; `__enter__` starts the processes."""
        self.plan = plan
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="flamingolug-"))
        self.nodes = _plan_nodes(plan)
        self.store_url = f"http://{HOST}:{plan.base_port}"
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "Deployment":
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *unused: object) -> None:
        self.close()

    def close(self) -> None:
        """Kills the processes and removes their files.

        Keeps the files if FLAMINGOLUG_BENCH_KEEP is set.
        """
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(_STOP_TIMEOUT_S)
        if not os.environ.get("FLAMINGOLUG_BENCH_KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)

    def start_store(self) -> None:
        """Starts the emulated key-value store."""
        self.start(
            "store",
            "flamingolug_standins.store_program",
            HOST,
            str(self.plan.base_port),
        )

    def start_node(self, node: NodePlan, seeds: Sequence[str] = ()) -> None:
        """Starts one node.

        Args:
            node: the node.
            seeds: peer addresses of the nodes through which it joins.
        """
        path = self.directory / f"{node.name}.yaml"
        seeds_line = f"seeds: [{', '.join(seeds)}]\n"
        path.write_text(self._settings(node) + seeds_line)
        self.start(node.name, "flamingolug.node", "run", str(path))

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Starts a Python module as a process and logs to `name`.log."""
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            # Without hash randomization, sets of strings have the same order in
            # every run.
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
        log.close()

    def fleet(self) -> operations.Fleet:
        """Returns an operator client of all nodes."""
        token = peers.derive_keys(PEER_KEY).operator_token
        return operations.Fleet([each.http for each in self.nodes], token)

    def apply(self, new_manifest: manifest.Manifest) -> operations.ApplyResult:
        """Applies a manifest and waits until it is in force at every node.

        Raises:
            FlamingolugError: the manifest is not in force after the time-out.
        """
        store_client = store.HttpStore(self.store_url)
        result = operations.apply_manifest(
            store_client,
            new_manifest,
            operations.Author("bench", time.time()),
            None,
            gevent.sleep,
        )
        fleet = self.fleet()
        fleet.send_manifest(result.stored_form)
        assert result.accepted is not None
        complete, progress = fleet.wait_until_active(
            result.accepted.revision, READY_TIMEOUT_S
        )
        if not complete:
            raise errors.FlamingolugError(
                "manifest not in force at every node after the time-out: "
                f"{progress}",
                step="bench.apply",
            )
        return result

    def wait_ready(self) -> None:
        """Waits until every node lists all members as alive.

        Each must be listed with its service.

        Raises:
            FlamingolugError: some node lacks members after the time-out.
        """
        expected = {(each.name, each.service) for each in self.nodes}
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            missing = [
                self._missing_members(each, expected) for each in self.nodes
            ]
            if not any(missing):
                return
            if time.monotonic() > deadline:
                break
            gevent.sleep(0.1)
        missing_counts = {
            node.name: len(each)
            for node, each in zip(self.nodes, missing, strict=True)
            if each
        }
        raise errors.FlamingolugError(
            "members missing after the time-out, number by node: "
            f"{missing_counts}",
            step="bench.start",
        )

    def backend_request(
        self, address: str, path: str, body: bytes = b""
    ) -> bytes:
        """Sends a control request to a backend server."""
        return request(address, path, body)

    def ledger(self) -> list[backend.LedgerEntry]:
        """Returns the ledgers of all backend servers: what they executed."""
        entries: list[backend.LedgerEntry] = []
        for node in self.nodes:
            if not node.service:
                continue
            body = request(node.backend, "/-/ledger")
            entries.extend(
                msgspec.json.decode(body, type=list[backend.LedgerEntry])
            )
        return entries

    def metrics(self) -> dict[str, dict[str, int]]:
        """Returns the counters of all nodes, summed by metric and labels.

        Nodes that do not answer are left out.
        """
        totals: dict[str, dict[str, int]] = {}
        for node in self.nodes:
            try:
                body = request(node.http, "/-/metrics")
            except errors.FlamingolugError:
                continue
            for name, rows in msgspec.json.decode(body).items():
                counts = totals.setdefault(name, {})
                for row in rows:
                    value = row.pop("value")
                    label = "/".join(str(each) for each in row.values())
                    counts[label] = counts.get(label, 0) + value
        return totals

    def _start_all(self) -> None:
        if self.plan.with_store:
            self.start_store()
        if self.plan.with_relays:
            self._start_relays()
        for node in self.nodes:
            self.start_node(node)
        if self.plan.with_backends:
            self._start_backends()
        if self.plan.with_store:
            self._wait_store()
            if not self.plan.with_backends:
                self._announce_all()
            self.wait_ready()
            self.apply(self.plan.manifest)
            self._wait_owners()

    def _announce_all(self) -> None:
        """Announces a backend server to each node without starting it."""
        for node in self.nodes:
            self._announce(node)

    def _announce(self, node: NodePlan) -> None:
        message = {
            "service": node.service,
            "address": node.backend,
            "slots": 10,
            "connections": 100,
            # Outlasts the run: the announcement is not renewed.
            "hold_s": 3_600,
        }
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                request(node.http, "/-/announce", msgspec.json.encode(message))
                return
            except errors.FlamingolugError:
                if time.monotonic() > deadline:
                    raise
                gevent.sleep(0.2)

    def _wait_owners(self) -> None:
        """Waits until each service has as many owners as instances.

        An owner is an incarnation of a node that is responsible for a part of
        the idempotency keys. Only the number of owners that the last node of
        each service lists is checked.

        Raises:
            FlamingolugError: a number differs after the time-out.
        """
        expected_counts = {
            service.name: len(service.zones)
            for service in self.plan.services
            if service.name
        }
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            counts = {
                node.service: len(self.status(node)["owners"])
                for node in self.nodes
                if node.service
            }
            if counts == expected_counts:
                return
            gevent.sleep(0.1)
        raise errors.FlamingolugError(
            f"number of owners by service after the time-out: {counts}, "
            f"expected {expected_counts}",
            step="bench.start",
        )

    def status(self, node: NodePlan) -> dict[str, Any]:
        """Returns the status that a node reports."""
        status: dict[str, Any] = msgspec.json.decode(
            request(node.http, "/-/status")
        )
        return status

    def _start_relays(self) -> None:
        pairs = [f"{each.peer}={each.peer_bind}" for each in self.nodes]
        self.start(
            "relays",
            "flamingolug_standins.relay_program",
            self.relay_control,
            *pairs,
        )

    @property
    def relay_control(self) -> str:
        """Address of the control endpoint of the relays."""
        return f"{HOST}:{self.plan.base_port + 4 * _PORT_RANGE}"

    def set_relay_fault(self, node: NodePlan, fault: Mapping[str, Any]) -> None:
        """Sets the fault of the relay of a node; an empty one ends it."""
        message = {"listen": node.peer, "fault": fault}
        request(self.relay_control, "/fault", msgspec.json.encode(message))

    def set_store_fault(self, fault: Mapping[str, Any]) -> None:
        """Sets the fault of the store; an empty one ends it."""
        address = f"{HOST}:{self.plan.base_port}"
        request(address, "/fault", msgspec.json.encode(fault))

    def store_call_counts(self) -> dict[str, int]:
        """Returns the number of calls to the store by operation."""
        counts: dict[str, int] = msgspec.json.decode(
            request(f"{HOST}:{self.plan.base_port}", "/stats")
        )
        return counts

    def signal(self, name: str, signal_number: int) -> None:
        """Sends a signal to a process that this deployment started."""
        self.processes[name].send_signal(signal_number)

    def _wait_store(self) -> None:
        """Waits until the store answers, at most `READY_TIMEOUT_S`.

        Returns normally after the time-out too.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(errors.FlamingolugError):
                request(f"{HOST}:{self.plan.base_port}", "/stats")
                return
            gevent.sleep(0.05)

    def _start_backends(self) -> None:
        """Starts one process per service for all its backend servers."""
        by_service: dict[str, list[backend.BackendConfig]] = {}
        for index, node in enumerate(self.nodes):
            if not node.service:
                continue
            config = self._backend_config(node, index)
            by_service.setdefault(node.service, []).append(config)
        for service, configs in by_service.items():
            path = self.directory / f"backends-{service}.yaml"
            path.write_bytes(msgspec.yaml.encode(configs))
            self.start(
                f"backends-{service}",
                "flamingolug_standins.backend_program",
                str(path),
            )

    def _backend_config(
        self, node: NodePlan, index: int
    ) -> backend.BackendConfig:
        service = next(
            each for each in self.plan.services if each.name == node.service
        )
        kinds: dict[str, backend.KindConfig] = {}
        for kind in self.plan.manifest.kinds.values():
            if kind.service != node.service:
                continue
            kinds[kind.name] = backend.KindConfig(
                service_time_ms=kind.service_time_ms,
                calls=[
                    _call_plan(self.plan.manifest, each) for each in kind.calls
                ],
            )
        config = backend.BackendConfig(
            name=node.name,
            service=node.service,
            address=node.backend,
            node=node.http,
            slots=service.slots,
            connections=service.connections,
            kinds=kinds,
            seed=index + 1,
        )
        changes = self.plan.backend_changes.get(node.name, {})
        return msgspec.structs.replace(config, **changes)

    def _settings(self, node: NodePlan) -> str:
        lines = [
            f"name: {node.name}",
            "region: bench",
            f"availability_zone: {node.zone}",
            f"http_address: {node.http}",
            f"peer_address: {node.peer}",
            f"peer_bind_address: {node.peer_bind}",
            f"peer_key: {PEER_KEY}",
            f"store_url: {self.store_url}",
            f"log_level: {self.plan.log_level}",
            f"control: {self.plan.control}",
        ]
        return "\n".join(lines) + "\n"

    def _missing_members(
        self, node: NodePlan, expected: set[tuple[str, str]]
    ) -> set[tuple[str, str]]:
        """Returns the expected members that a node does not list as alive."""
        try:
            body = request(node.http, "/-/members")
        except errors.FlamingolugError:
            return expected
        members = msgspec.json.decode(body)["members"]
        alive_members = {
            (each["name"], each["service"])
            for each in members
            if each["state"] == "alive"
        }
        return expected - alive_members


def request(address: str, path: str, body: bytes = b"") -> bytes:
    """Sends one control request and returns the body of the response.

    The method is POST if there is a body, else GET.
    """
    host, _, port = address.rpartition(":")
    pool = web.Pool(host, int(port))
    try:
        return web.send_request(
            pool,
            "POST" if body else "GET",
            path,
            (),
            body,
            timeout_s=5.0,
            max_body_bytes=200_000_000,
        ).body
    finally:
        pool.close()


def _plan_nodes(plan: DeploymentPlan) -> list[NodePlan]:
    """Returns the nodes of a plan with their addresses."""
    nodes: list[NodePlan] = []
    for service in plan.services:
        for index, zone in enumerate(service.zones):
            port = plan.base_port + 1 + len(nodes)
            nodes.append(
                NodePlan(
                    name=f"{service.name or 'idle'}-{index}",
                    service=service.name,
                    zone=zone,
                    http=f"{HOST}:{port}",
                    peer=f"{HOST}:{port + _PORT_RANGE}",
                    peer_bind=(
                        f"{HOST}:{port + 3 * _PORT_RANGE}"
                        if plan.with_relays
                        else f"{HOST}:{port + _PORT_RANGE}"
                    ),
                    backend=f"{HOST}:{port + 2 * _PORT_RANGE}",
                )
            )
    return nodes


def _call_plan(
    deployed_manifest: manifest.Manifest, name: str
) -> tuple[str, str, str, str]:
    """Returns the service, kind, method and path of a call."""
    kind = deployed_manifest.kinds[name]
    route = kind.route or manifest.Route("GET", "/")
    return kind.service, kind.name, route.method, route.path
