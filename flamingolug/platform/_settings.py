"""The platform's settings file, decoded into the gateway's settings."""

import pathlib
import tomllib

import msgspec

from flamingolug import errors
from flamingolug import gateway

#: Variable that holds the path of the settings file.
SETTINGS_VARIABLE = "FLAMINGOLUG_BOOT"
_STEP = "settings.load"


class _Listen(msgspec.Struct):
    outbound: str = msgspec.field(name="Outbound")
    ready: str = msgspec.field(name="Ready")
    control: str = msgspec.field(name="Control")


class _Bounds(msgspec.Struct):
    grace_s: float = msgspec.field(name="GracePeriodS", default=6.0)
    retry_ratio: float = msgspec.field(name="RetryBudgetRatio", default=0.2)
    retry_window_s: float = msgspec.field(name="BudgetWindowS", default=10.0)
    #: Repeats of the whole fleet, free in each window.
    retry_slack: float = msgspec.field(name="BudgetSlack", default=48.0)


class _Platform(msgspec.Struct):
    address: str = msgspec.field(name="Address")
    min_lease_ms: float = msgspec.field(name="TtlMinMs", default=1000.0)


class _File(msgspec.Struct):
    node: str = msgspec.field(name="NodeName")
    host: str = msgspec.field(name="Ip")
    zone: str = msgspec.field(name="Zone")
    #: First and last port that nodes may use among themselves.
    ports: tuple[int, int] = msgspec.field(name="InternalPorts")
    app: str = msgspec.field(name="AppAddr")
    service: str = msgspec.field(name="Service")
    listen: _Listen = msgspec.field(name="ListenAddrs")
    platform: _Platform = msgspec.field(name="Platform")
    bounds: _Bounds = msgspec.field(name="Bounds", default_factory=_Bounds)
    report_interval_ms: float = msgspec.field(
        name="HeartbeatMs", default=1500.0
    )
    #: Where other nodes reach this one, if not at `host`; the platform never
    #: sets it.
    announced: str = msgspec.field(name="AnnouncedLink", default="")


def load_settings(path: str) -> gateway.GatewaySettings:
    """Reads a settings file.

    Raises:
        ConfigurationError: the file is missing, unreadable or incomplete.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        found = msgspec.convert(data, type=_File, strict=False)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.ConfigurationError(
            f"settings file {path}: {exc}", step=_STEP
        ) from exc
    link_port, metrics_port = found.ports
    return gateway.GatewaySettings(
        identity=gateway.NodeIdentity(
            found.node, found.zone, found.host, found.service
        ),
        app=_address(found.app),
        outbound=_address(found.listen.outbound),
        ready=_address(found.listen.ready),
        control=_address(found.listen.control),
        link=(
            _address(found.announced)
            if found.announced
            else (found.host, link_port)
        ),
        link_listen=(found.host, link_port),
        metrics=(found.host, metrics_port),
        store=_address(found.platform.address),
        min_lease_s=found.platform.min_lease_ms / 1000.0,
        report_interval_s=found.report_interval_ms / 1000.0,
        grace_s=found.bounds.grace_s,
        retries=gateway.RetryBounds(
            found.bounds.retry_ratio,
            found.bounds.retry_slack,
            found.bounds.retry_window_s,
        ),
    )


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise errors.ConfigurationError(
            f"{text!r} is not HOST:PORT", step=_STEP
        )
    return host, int(port)
