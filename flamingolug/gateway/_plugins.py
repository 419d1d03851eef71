"""Registers the plug-ins of a gateway with the kernel."""

import random
from typing import cast

from flamingolug import kernel
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _announcer
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _control_server
from flamingolug.gateway import _directory
from flamingolug.gateway import _entry
from flamingolug.gateway import _environment
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _peer_server
from flamingolug.gateway import _pressure
from flamingolug.gateway import _request
from flamingolug.gateway import _upstreams

#: Name of the program to which these plug-ins belong.
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
def _build_watcher(built: kernel.Kernel) -> object:
    environment = _environment_of(built)
    return _configuration_watcher.ConfigurationWatcher(
        _configuration_watcher.Dependencies(
            _store(built),
            environment.configuration_key,
            environment.decode_configuration,
        )
    )


@kernel.plugin("gateway.pressure", (), PROGRAM)
def _build_pressure(built: kernel.Kernel) -> object:
    return _pressure.CalleePressure(_timers(built).now)


@kernel.plugin("gateway.gate", ("gateway.metrics", "gateway.pressure"), PROGRAM)
def _build_gate(built: kernel.Kernel) -> object:
    return _gate.Gate(
        _gate.Dependencies(
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
            built.get("gateway.pressure", _pressure.CalleePressure).highest,
        )
    )


@kernel.plugin(
    "gateway.link-needs", ("gateway.holder", "gateway.metrics"), PROGRAM
)
def _build_link_deps(built: kernel.Kernel) -> object:
    watcher = built.get(
        "gateway.holder", _configuration_watcher.ConfigurationWatcher
    )

    def directory() -> _directory.Directory:
        return built.get("gateway.directory", _directory.Directory)

    def on_status(
        address: tuple[str, int], upstream_id: str, load: _model.LoadReport
    ) -> None:
        built.get("gateway.upstreams", _upstreams.Upstreams).handle_status(
            address, upstream_id, load
        )

    return _link.Dependencies(
        _settings(built),
        _timers(built),
        _metrics_of(built),
        lambda: watcher.version,
        watcher.document,
        lambda document: watcher.apply_if_newer(document, "peer"),
        on_status,
        lambda: directory().revision,
        lambda revision: directory().record_peer_revision(revision),
        lambda: directory().complete_revision,
        lambda after: directory().entries(after),
        lambda items: directory().merge_from_peer(items),
    )


@kernel.plugin("gateway.links", ("gateway.link-needs",), PROGRAM)
def _build_links(built: kernel.Kernel) -> object:
    return _link.Links(built.get("gateway.link-needs", _link.Dependencies))


@kernel.plugin(
    "gateway.directory", ("gateway.store", "gateway.random"), PROGRAM
)
def _build_directory(built: kernel.Kernel) -> object:
    return _directory.Directory(
        _directory.Dependencies(
            _settings(built).identity.zone,
            _rng(built),
            _store(built),
            _timers(built),
            lambda upstream: built.get(
                "gateway.upstreams", _upstreams.Upstreams
            ).is_confirmed(upstream),
            lambda key: built.get(
                "gateway.announcer", _announcer.Announcer
            ).on_removed(key),
            lambda: built.get(
                "gateway.peer-server", _peer_server.PeerServer
            ).request_entries(),
        )
    )


@kernel.plugin(
    "gateway.announcer", ("gateway.directory", "gateway.gate"), PROGRAM
)
def _build_announcer(built: kernel.Kernel) -> object:
    gate = built.get("gateway.gate", _gate.Gate)
    return _announcer.Announcer(
        _announcer.Dependencies(
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
        _upstreams.Dependencies(
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
        _request.Dependencies(
            _settings(built),
            _environment_of(built).caller_names,
            built.get(
                "gateway.holder", _configuration_watcher.ConfigurationWatcher
            ),
            built.get("gateway.upstreams", _upstreams.Upstreams),
            _timers(built),
            _metrics_of(built),
            _rng(built),
            directory.node_count,
            built.get("gateway.pressure", _pressure.CalleePressure),
        )
    )


@kernel.plugin("gateway.entry", ("gateway.handler",), PROGRAM)
def _build_entry(built: kernel.Kernel) -> object:
    return _entry.Entry(
        _entry.Dependencies(
            _settings(built),
            built.get(
                "gateway.holder", _configuration_watcher.ConfigurationWatcher
            ),
            _timers(built),
            built.get("gateway.handler", _request.Handler),
        )
    )


@kernel.plugin(
    "gateway.peer-server", ("gateway.link-needs", "gateway.gate"), PROGRAM
)
def _build_peer_server(built: kernel.Kernel) -> object:
    return _peer_server.PeerServer(
        _peer_server.Dependencies(
            built.get("gateway.link-needs", _link.Dependencies),
            built.get("gateway.gate", _gate.Gate),
            _rng(built),
            lambda: (
                built.get(
                    "gateway.directory", _directory.Directory
                ).lacks_entries
            ),
        )
    )


@kernel.plugin(
    "gateway.service",
    ("gateway.gate", "gateway.holder", "gateway.announcer", "gateway.handler"),
    PROGRAM,
)
def _build_control_server(built: kernel.Kernel) -> object:
    environment = _environment_of(built)
    handler = built.get("gateway.handler", _request.Handler)
    return _control_server.ControlServer(
        _control_server.Dependencies(
            _settings(built),
            built.get("gateway.gate", _gate.Gate),
            built.get(
                "gateway.holder", _configuration_watcher.ConfigurationWatcher
            ),
            built.get("gateway.directory", _directory.Directory),
            built.get("gateway.announcer", _announcer.Announcer),
            _metrics_of(built),
            environment.report_decoder,
            environment.ready_path,
            lambda: handler.stopping,
        )
    )
