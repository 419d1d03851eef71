"""Registers the plug-ins of a node with the kernel."""

import random
from typing import cast

from flamingolug import kernel
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _announcer
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _control_server
from flamingolug.gateway import _departure_records
from flamingolug.gateway import _directory
from flamingolug.gateway import _entry
from flamingolug.gateway import _environment
from flamingolug.gateway import _gate
from flamingolug.gateway import _link
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _peer_inquiry
from flamingolug.gateway import _peer_server
from flamingolug.gateway import _pressure
from flamingolug.gateway import _record_keeper
from flamingolug.gateway import _request
from flamingolug.gateway import _upstreams
from flamingolug.gateway import _watch_checks

#: Name of the program to which these plug-ins belong.
PROGRAM = "gateway"


def _environment_of(parts: kernel.Kernel) -> _environment.Environment:
    return parts.get("gateway.environment", _environment.Environment)


def _settings(parts: kernel.Kernel) -> _model.GatewaySettings:
    return _environment_of(parts).settings


def _timers(parts: kernel.Kernel) -> timing.Timers:
    return cast(timing.Timers, parts.get("gateway.timers", object))


def _metrics_of(parts: kernel.Kernel) -> _metrics.Metrics:
    return parts.get("gateway.metrics", _metrics.Metrics)


def _store(parts: kernel.Kernel) -> store.LeasedStore:
    return cast(store.LeasedStore, parts.get("gateway.store", object))


def _rng(parts: kernel.Kernel) -> random.Random:
    return parts.get("gateway.random", random.Random)


def _check_interval_s(parts: kernel.Kernel, detection_s: float) -> float:
    """Returns the seconds between checks of a watch of the store."""
    return _watch_checks.check_interval_s(
        detection_s,
        parts.get("gateway.links", _link.Links).live_count(),
        parts.get("gateway.directory", _directory.Directory).node_count(),
    )


@kernel.plugin("gateway.random", (), PROGRAM)
def _build_random(parts: kernel.Kernel) -> object:
    del parts
    return random.Random()


@kernel.plugin("gateway.metrics", (), PROGRAM)
def _build_metrics(parts: kernel.Kernel) -> object:
    return _metrics.Metrics(
        telemetry.Counters(_settings(parts).identity.name, "", 0.0)
    )


@kernel.plugin("gateway.store", ("gateway.metrics",), PROGRAM)
def _build_store(parts: kernel.Kernel) -> object:
    metrics = _metrics_of(parts)
    return _environment_of(parts).make_store(
        _settings(parts).store, metrics.count_store_call, metrics.count_era
    )


@kernel.plugin("gateway.holder", ("gateway.store",), PROGRAM)
def _build_watcher(parts: kernel.Kernel) -> object:
    environment = _environment_of(parts)
    return _configuration_watcher.ConfigurationWatcher(
        _configuration_watcher.Dependencies(
            _store(parts),
            environment.configuration_key,
            environment.decode_configuration,
            _timers(parts),
            lambda: _check_interval_s(parts, environment.settings.detection_s),
        )
    )


@kernel.plugin("gateway.pressure", (), PROGRAM)
def _build_pressure(parts: kernel.Kernel) -> object:
    return _pressure.CalleePressure(
        _timers(parts).now, _settings(parts).identity.service
    )


@kernel.plugin("gateway.gate", ("gateway.metrics", "gateway.pressure"), PROGRAM)
def _build_gate(parts: kernel.Kernel) -> object:
    return _gate.Gate(
        _gate.Dependencies(
            _settings(parts),
            _environment_of(parts).upstream_header_names,
            _environment_of(parts).decode_load,
            _timers(parts),
            _metrics_of(parts),
            lambda: parts.get(
                "gateway.peer-server", _peer_server.PeerServer
            ).schedule_status(),
            lambda: parts.get(
                "gateway.directory", _directory.Directory
            ).upstream_counts(),
            parts.get("gateway.pressure", _pressure.CalleePressure),
        )
    )


@kernel.plugin(
    "gateway.link-needs", ("gateway.holder", "gateway.metrics"), PROGRAM
)
def _build_link_deps(parts: kernel.Kernel) -> object:
    watcher = parts.get(
        "gateway.holder", _configuration_watcher.ConfigurationWatcher
    )

    def directory() -> _directory.Directory:
        return parts.get("gateway.directory", _directory.Directory)

    def records() -> _departure_records.DepartureRecords:
        return parts.get(
            "gateway.departure-records", _departure_records.DepartureRecords
        )

    def on_status(
        address: tuple[str, int], upstream_id: str, load: _model.LoadReport
    ) -> None:
        parts.get("gateway.upstreams", _upstreams.Upstreams).handle_status(
            address, upstream_id, load
        )

    return _link.Dependencies(
        _settings(parts),
        _timers(parts),
        _metrics_of(parts),
        lambda: watcher.version,
        watcher.document,
        lambda document: watcher.activate_if_newer(document, "peer"),
        on_status,
        lambda: directory().position,
        lambda position: directory().record_peer_position(position),
        lambda: directory().complete_position,
        lambda after: directory().entries(after),
        lambda: directory().catch_up(),
        lambda known, address: parts.get(
            "gateway.peer-inquiry", _peer_inquiry.PeerInquiry
        ).handle_answer(known, address),
        lambda frame, confirm: records().handle_frame(frame, confirm),
        lambda number: records().handle_recorded(number),
    )


@kernel.plugin("gateway.links", ("gateway.link-needs",), PROGRAM)
def _build_links(parts: kernel.Kernel) -> object:
    return _link.Links(parts.get("gateway.link-needs", _link.Dependencies))


@kernel.plugin(
    "gateway.directory", ("gateway.store", "gateway.random"), PROGRAM
)
def _build_directory(parts: kernel.Kernel) -> object:
    return _directory.Directory(
        _directory.Dependencies(
            _settings(parts).identity.zone,
            _rng(parts),
            _store(parts),
            _timers(parts),
            lambda upstream: parts.get(
                "gateway.upstreams", _upstreams.Upstreams
            ).is_confirmed(upstream),
            lambda key: parts.get(
                "gateway.announcer", _announcer.Announcer
            ).on_removed(key),
            lambda departed: parts.get(
                "gateway.gate", _gate.Gate
            ).handle_departure(departed),
            lambda: parts.get(
                "gateway.peer-server", _peer_server.PeerServer
            ).request_entries(),
            lambda: (
                parts.get(
                    "gateway.holder",
                    _configuration_watcher.ConfigurationWatcher,
                ).used_at
            ),
            # The entry of a node that is gone lasts as long anyway.
            lambda: _check_interval_s(parts, _announcer.LEASE_TTL_S),
            lambda departed: parts.get(
                "gateway.record-keeper", _record_keeper.RecordKeeper
            ).restore(departed),
            lambda: parts.get(
                "gateway.peer-inquiry", _peer_inquiry.PeerInquiry
            ).ask_some(),
        )
    )


@kernel.plugin(
    "gateway.peer-inquiry",
    ("gateway.directory", "gateway.links", "gateway.random"),
    PROGRAM,
)
def _build_peer_inquiry(parts: kernel.Kernel) -> object:
    return _peer_inquiry.PeerInquiry(
        _peer_inquiry.Dependencies(
            _settings(parts).link,
            _timers(parts),
            _rng(parts),
            parts.get("gateway.links", _link.Links),
            parts.get("gateway.directory", _directory.Directory),
        )
    )


@kernel.plugin(
    "gateway.departure-records",
    ("gateway.directory", "gateway.links", "gateway.random"),
    PROGRAM,
)
def _build_departure_records(parts: kernel.Kernel) -> object:
    cfg = _settings(parts)
    directory = parts.get("gateway.directory", _directory.Directory)

    def peers() -> list[tuple[str, int]]:
        return [each for each in directory.node_addresses() if each != cfg.link]

    return _departure_records.DepartureRecords(
        _departure_records.Dependencies(
            _store(parts),
            _timers(parts),
            _rng(parts),
            parts.get("gateway.links", _link.Links),
            _metrics_of(parts),
            directory.record_departure,
            peers,
            cfg.min_lease_s,
        )
    )


@kernel.plugin(
    "gateway.announcer",
    ("gateway.directory", "gateway.gate", "gateway.random"),
    PROGRAM,
)
def _build_announcer(parts: kernel.Kernel) -> object:
    cfg = _settings(parts)
    gate = parts.get("gateway.gate", _gate.Gate)
    directory = parts.get("gateway.directory", _directory.Directory)
    announcer = _announcer.Announcer(
        _announcer.Dependencies(
            cfg,
            _store(parts),
            _timers(parts),
            lambda: gate.report,
            directory.find_entry,
            gate.handle_departure,
            lambda: _announcer.rewrite_window_s(
                directory.node_count(), cfg.store_writes_per_s
            ),
            _rng(parts),
        )
    )
    _store(parts).on_new_era(lambda era: announcer.handle_new_era())
    return announcer


@kernel.plugin(
    "gateway.record-keeper",
    ("gateway.announcer", "gateway.departure-records", "gateway.directory"),
    PROGRAM,
)
def _build_record_keeper(parts: kernel.Kernel) -> object:
    directory = parts.get("gateway.directory", _directory.Directory)
    announcer = parts.get("gateway.announcer", _announcer.Announcer)
    gate = parts.get("gateway.gate", _gate.Gate)
    return _record_keeper.RecordKeeper(
        _record_keeper.Dependencies(
            _settings(parts).link,
            _timers(parts),
            _metrics_of(parts),
            parts.get(
                "gateway.departure-records", _departure_records.DepartureRecords
            ),
            directory.node_addresses,
            directory.needs_record,
            announcer.announces_departure_of,
            lambda: gate.stopping,
        )
    )


@kernel.plugin(
    "gateway.upstreams",
    ("gateway.directory", "gateway.gate", "gateway.links", "gateway.random"),
    PROGRAM,
)
def _build_upstreams(parts: kernel.Kernel) -> object:
    return _upstreams.Upstreams(
        _upstreams.Dependencies(
            _settings(parts),
            parts.get("gateway.directory", _directory.Directory),
            parts.get("gateway.gate", _gate.Gate),
            parts.get("gateway.links", _link.Links),
            _timers(parts),
            _rng(parts),
        )
    )


@kernel.plugin(
    "gateway.handler", ("gateway.upstreams", "gateway.holder"), PROGRAM
)
def _build_handler(parts: kernel.Kernel) -> object:
    directory = parts.get("gateway.directory", _directory.Directory)
    return _request.Handler(
        _request.Dependencies(
            _settings(parts),
            _environment_of(parts).caller_header_names,
            parts.get(
                "gateway.holder", _configuration_watcher.ConfigurationWatcher
            ),
            parts.get("gateway.upstreams", _upstreams.Upstreams),
            _timers(parts),
            _metrics_of(parts),
            _rng(parts),
            directory.node_count,
            parts.get("gateway.pressure", _pressure.CalleePressure),
        )
    )


@kernel.plugin("gateway.entry", ("gateway.handler",), PROGRAM)
def _build_entry(parts: kernel.Kernel) -> object:
    return _entry.Entry(
        _entry.Dependencies(
            _settings(parts),
            parts.get(
                "gateway.holder", _configuration_watcher.ConfigurationWatcher
            ),
            _timers(parts),
            parts.get("gateway.handler", _request.Handler),
            _metrics_of(parts),
            _environment_of(parts).caller_header_names.request_id,
        )
    )


@kernel.plugin(
    "gateway.peer-server", ("gateway.link-needs", "gateway.gate"), PROGRAM
)
def _build_peer_server(parts: kernel.Kernel) -> object:
    return _peer_server.PeerServer(
        _peer_server.Dependencies(
            parts.get("gateway.link-needs", _link.Dependencies),
            parts.get("gateway.gate", _gate.Gate),
            _rng(parts),
            lambda: (
                parts.get(
                    "gateway.directory", _directory.Directory
                ).lacks_entries
            ),
            lambda: parts.get(
                "gateway.announcer", _announcer.Announcer
            ).make_entry(),
        )
    )


@kernel.plugin(
    "gateway.service",
    (
        "gateway.gate",
        "gateway.holder",
        "gateway.announcer",
        "gateway.departure-records",
        "gateway.handler",
    ),
    PROGRAM,
)
def _build_control_server(parts: kernel.Kernel) -> object:
    environment = _environment_of(parts)
    handler = parts.get("gateway.handler", _request.Handler)
    return _control_server.ControlServer(
        _control_server.Dependencies(
            _settings(parts),
            parts.get("gateway.gate", _gate.Gate),
            parts.get(
                "gateway.holder", _configuration_watcher.ConfigurationWatcher
            ),
            parts.get("gateway.directory", _directory.Directory),
            parts.get("gateway.announcer", _announcer.Announcer),
            parts.get(
                "gateway.departure-records", _departure_records.DepartureRecords
            ),
            _metrics_of(parts),
            environment.report_decoder,
            environment.ready_path,
            lambda: handler.stopping,
        )
    )
