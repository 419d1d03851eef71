"""Reads the platform's settings file into the settings of the node."""

import pathlib
import tomllib

import msgspec

from flamingolug import errors
from flamingolug import gateway

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FLAMINGOLUG_BOOT"
_STEP = "settings.load"


class _Listen(msgspec.Struct):
    #: Address at which callers connect.
    outbound: str = msgspec.field(name="Outbound")
    #: Address of the readiness check.
    ready: str = msgspec.field(name="Ready")
    #: Address to which the backend server reports.
    control: str = msgspec.field(name="Control")


class _Bounds(msgspec.Struct):
    #: Milliseconds after a disturbance of the store, or of the node's path to
    #: it, from which on the bounds in time hold for the node again.
    in_touch_ms: float = msgspec.field(name="TouchMs", default=3000.0)
    #: Seconds from SIGTERM to SIGKILL.
    grace_s: float = msgspec.field(name="GracePeriodS", default=6.0)
    retry_ratio: float = msgspec.field(name="RetryBudgetRatio", default=0.2)
    retry_window_s: float = msgspec.field(name="BudgetWindowS", default=10.0)
    #: Retries of the whole fleet permitted per window in addition to the ratio.
    retry_slack: float = msgspec.field(name="BudgetSlack", default=48.0)


class _Limits(msgspec.Struct):
    #: Memory above which the platform ends the process, megabytes.
    memory_mb: float = msgspec.field(name="MemoryMb", default=300.0)


class _Platform(msgspec.Struct):
    address: str = msgspec.field(name="Address")
    min_lease_ms: float = msgspec.field(name="TtlMinMs", default=1000.0)
    writes_per_s: float = msgspec.field(name="WritesPerS", default=400.0)


class _SettingsFile(msgspec.Struct):
    node: str = msgspec.field(name="NodeName")
    host: str = msgspec.field(name="Ip")
    zone: str = msgspec.field(name="Zone")
    #: Ports that the node may use: the first for links from other nodes, the
    #: second for metrics.
    ports: tuple[int, int] = msgspec.field(name="InternalPorts")
    #: Address of the backend server beside the node.
    app: str = msgspec.field(name="AppAddr")
    service: str = msgspec.field(name="Service")
    listen: _Listen = msgspec.field(name="ListenAddrs")
    platform: _Platform = msgspec.field(name="Platform")
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)
    bounds: _Bounds = msgspec.field(name="Bounds", default_factory=_Bounds)
    report_interval_ms: float = msgspec.field(
        name="HeartbeatMs", default=1500.0
    )
    #: Address at which other nodes reach this one, empty for the first internal
    #: port of `host`. The platform leaves it empty; the soak tests set it, so
    #: that links pass through a relay.
    announced: str = msgspec.field(name="AnnouncedLink", default="")


def load_settings(path: str) -> gateway.GatewaySettings:
    """Reads a settings file.

    Raises:
        ConfigurationError: the file is missing, unreadable or invalid.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        parsed = msgspec.convert(data, type=_SettingsFile, strict=False)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.ConfigurationError(
            f"cannot load the settings file {path}: {exc}", step=_STEP
        ) from exc
    link_port, metrics_port = parsed.ports
    return gateway.GatewaySettings(
        identity=gateway.NodeIdentity(
            parsed.node, parsed.zone, parsed.host, parsed.service
        ),
        app=_parse_address(parsed.app),
        outbound=_parse_address(parsed.listen.outbound),
        ready=_parse_address(parsed.listen.ready),
        control=_parse_address(parsed.listen.control),
        link=(
            _parse_address(parsed.announced)
            if parsed.announced
            else (parsed.host, link_port)
        ),
        link_listen=(parsed.host, link_port),
        metrics=(parsed.host, metrics_port),
        store=_parse_address(parsed.platform.address),
        min_lease_s=parsed.platform.min_lease_ms / 1000.0,
        report_interval_s=parsed.report_interval_ms / 1000.0,
        grace_s=parsed.bounds.grace_s,
        retries=gateway.RetryBounds(
            parsed.bounds.retry_ratio,
            parsed.bounds.retry_slack,
            parsed.bounds.retry_window_s,
        ),
        detection_s=parsed.bounds.in_touch_ms / 1000.0,
        memory_bytes=int(parsed.limits.memory_mb * 1_000_000),
        store_writes_per_s=max(parsed.platform.writes_per_s, 1.0),
    )


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise errors.ConfigurationError(
            f"settings file: address {text!r} is not HOST:PORT", step=_STEP
        )
    return host, int(port)
