"""Registers the parts of a gateway with the kernel."""

import random
from typing import cast

from flamingolug import kernel
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _announcer
from flamingolug.gateway import _directory
from flamingolug.gateway import _entry
from flamingolug.gateway import _environment
from flamingolug.gateway import _gate
from flamingolug.gateway import _holder
from flamingolug.gateway import _link
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _peer_server
from flamingolug.gateway import _pressure
from flamingolug.gateway import _request
from flamingolug.gateway import _service
from flamingolug.gateway import _upstreams

#: Name of the program that these parts belong to.
PROGRAM = "gateway"


def _environment_of(built: kernel.Kernel) -> _environment.Environment:
    return built.get("gateway.environment", _environment.Environment)


def _settings(built: kernel.Kernel) -> _model.GatewaySettings:
    return _environment_of(built).settings


def _timers(built: kernel.Kernel) -> timing.Timers:
    return cast(timing.Timers, built.get("gateway.timers", object))


def _metrics_of(built: kernel.Kernel) -> _metrics.Metrics:
    return built.get("gateway.metrics", _metrics.Metrics)


def _store(built: kernel.Kernel) -> store.LeasedStore:
    return cast(store.LeasedStore, built.get("gateway.store", object))


def _rng(built: kernel.Kernel) -> random.Random:
    return built.get("gateway.random", random.Random)


@kernel.plugin("gateway.random", (), PROGRAM)
def _build_random(built: kernel.Kernel) -> object:
    del built
    return random.Random()


@kernel.plugin("gateway.metrics", (), PROGRAM)
def _build_metrics(built: kernel.Kernel) -> object:
    return _metrics.Metrics(
        telemetry.Counters(_settings(built).identity.name, "", 0.0)
    )


@kernel.plugin("gateway.store", ("gateway.metrics",), PROGRAM)
def _build_store(built: kernel.Kernel) -> object:
    return _environment_of(built).make_store(
        _settings(built).store, _metrics_of(built).count_store_call
    )


@kernel.plugin("gateway.holder", ("gateway.store",), PROGRAM)
def _build_holder(built: kernel.Kernel) -> object:
    environment = _environment_of(built)
    return _holder.Holder(
        _holder.Needs(
            _store(built),
            environment.configuration_key,
            environment.decode_configuration,
        )
    )


@kernel.plugin("gateway.pressure", (), PROGRAM)
def _build_pressure(built: kernel.Kernel) -> object:
    return _pressure.PressureBelow(_timers(built).now)


@kernel.plugin("gateway.gate", ("gateway.metrics", "gateway.pressure"), PROGRAM)
def _build_gate(built: kernel.Kernel) -> object:
    return _gate.Gate(
        _gate.Needs(
            _settings(built),
            _environment_of(built).upstream_names,
            _timers(built),
            _metrics_of(built),
            lambda: built.get(
                "gateway.peer-server", _peer_server.PeerServer
            ).announce(),
            lambda: built.get(
                "gateway.directory", _directory.Directory
            ).services(),
            built.get("gateway.pressure", _pressure.PressureBelow).highest,
        )
    )


@kernel.plugin(
    "gateway.link-needs", ("gateway.holder", "gateway.metrics"), PROGRAM
)
def _build_link_needs(built: kernel.Kernel) -> object:
    holder = built.get("gateway.holder", _holder.Holder)

    def directory() -> _directory.Directory:
        return built.get("gateway.directory", _directory.Directory)

    def on_status(
        address: tuple[str, int], upstream_id: str, load: _model.LoadReport
    ) -> None:
        built.get("gateway.upstreams", _upstreams.Upstreams).take_status(
            address, upstream_id, load
        )

    return _link.Needs(
        _settings(built),
        _timers(built),
        _metrics_of(built),
        lambda: holder.version,
        holder.document,
        lambda document: holder.offer(document, "peer"),
        on_status,
        lambda: directory().revision,
        lambda revision: directory().note_peer(revision),
        lambda: directory().known_up_to,
        lambda after: directory().entries(after),
        lambda items: directory().take_from_peer(items),
    )


@kernel.plugin("gateway.links", ("gateway.link-needs",), PROGRAM)
def _build_links(built: kernel.Kernel) -> object:
    return _link.Links(built.get("gateway.link-needs", _link.Needs))


@kernel.plugin(
    "gateway.directory", ("gateway.store", "gateway.random"), PROGRAM
)
def _build_directory(built: kernel.Kernel) -> object:
    return _directory.Directory(
        _directory.Needs(
            _settings(built).identity.zone,
            _rng(built),
            _store(built),
            _timers(built),
            lambda upstream: built.get(
                "gateway.upstreams", _upstreams.Upstreams
            ).confirms(upstream),
            lambda key: built.get(
                "gateway.announcer", _announcer.Announcer
            ).on_removed(key),
            lambda: built.get(
                "gateway.peer-server", _peer_server.PeerServer
            ).ask_entries(),
        )
    )


@kernel.plugin(
    "gateway.announcer", ("gateway.directory", "gateway.gate"), PROGRAM
)
def _build_announcer(built: kernel.Kernel) -> object:
    gate = built.get("gateway.gate", _gate.Gate)
    return _announcer.Announcer(
        _announcer.Needs(
            _settings(built),
            _store(built),
            _timers(built),
            lambda: gate.report,
        )
    )


@kernel.plugin(
    "gateway.upstreams",
    ("gateway.directory", "gateway.gate", "gateway.links", "gateway.random"),
    PROGRAM,
)
def _build_upstreams(built: kernel.Kernel) -> object:
    return _upstreams.Upstreams(
        _upstreams.Needs(
            _settings(built),
            built.get("gateway.directory", _directory.Directory),
            built.get("gateway.gate", _gate.Gate),
            built.get("gateway.links", _link.Links),
            _timers(built),
            _rng(built),
        )
    )


@kernel.plugin(
    "gateway.handler", ("gateway.upstreams", "gateway.holder"), PROGRAM
)
def _build_handler(built: kernel.Kernel) -> object:
    directory = built.get("gateway.directory", _directory.Directory)
    return _request.Handler(
        _request.Needs(
            _settings(built),
            _environment_of(built).caller_names,
            built.get("gateway.holder", _holder.Holder),
            built.get("gateway.upstreams", _upstreams.Upstreams),
            _timers(built),
            _metrics_of(built),
            _rng(built),
            directory.node_count,
            built.get("gateway.pressure", _pressure.PressureBelow),
        )
    )


@kernel.plugin("gateway.entry", ("gateway.handler",), PROGRAM)
def _build_entry(built: kernel.Kernel) -> object:
    return _entry.Entry(
        _entry.Needs(
            _settings(built),
            built.get("gateway.holder", _holder.Holder),
            _timers(built),
            built.get("gateway.handler", _request.Handler),
        )
    )


@kernel.plugin(
    "gateway.peer-server", ("gateway.link-needs", "gateway.gate"), PROGRAM
)
def _build_peer_server(built: kernel.Kernel) -> object:
    return _peer_server.PeerServer(
        _peer_server.Needs(
            built.get("gateway.link-needs", _link.Needs),
            built.get("gateway.gate", _gate.Gate),
            _rng(built),
            lambda: (
                built.get("gateway.directory", _directory.Directory).uninformed
            ),
        )
    )


@kernel.plugin(
    "gateway.service",
    ("gateway.gate", "gateway.holder", "gateway.announcer", "gateway.handler"),
    PROGRAM,
)
def _build_service(built: kernel.Kernel) -> object:
    environment = _environment_of(built)
    handler = built.get("gateway.handler", _request.Handler)
    return _service.Service(
        _service.Needs(
            _settings(built),
            built.get("gateway.gate", _gate.Gate),
            built.get("gateway.holder", _holder.Holder),
            built.get("gateway.directory", _directory.Directory),
            built.get("gateway.announcer", _announcer.Announcer),
            _metrics_of(built),
            environment.report_decoder,
            environment.ready_path,
            lambda: handler.leaving,
        )
    )
