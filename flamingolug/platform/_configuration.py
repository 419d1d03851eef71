"""Decodes the operators' configuration as stored by the platform."""

import msgspec

from flamingolug import errors
from flamingolug import gateway
from flamingolug import http1

#: Key of the newest configuration.
CONFIGURATION_KEY = "op/config"
_STEP = "configuration.decode"
_VERSION_PREFIX = "r"
_IDEMPOTENT = "safe"


class _WeightedService(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight")


class _RouteSpec(msgspec.Struct):
    host: str = msgspec.field(name="Hostname")
    prefix: str = msgspec.field(name="Prefix")
    #: "safe" if requests of the route may be repeated. The platform calls this
    #: field "Kind".
    idempotency: str = msgspec.field(name="Kind")
    timeout_ms: float = msgspec.field(name="TimeoutMs")
    target_latency_ms: float = msgspec.field(name="TargetLatencyMs")
    max_attempts: int = msgspec.field(name="MaxAttempts", default=1)
    #: Urgency rank; 0 is the most urgent. The platform calls it "Priority".
    rank: int = msgspec.field(name="Priority", default=0)
    #: Used only if `split` is empty.
    service: str = msgspec.field(name="Service", default="")
    split: list[_WeightedService] = msgspec.field(
        name="TrafficSplit", default_factory=list
    )


class _ServiceSpec(msgspec.Struct):
    max_connections: int = msgspec.field(name="MaxConnections", default=100)


class _LimitsSpec(msgspec.Struct):
    header_bytes: int = msgspec.field(name="MaxHeaderBytes", default=16384)
    body_bytes: int = msgspec.field(name="MaxBodyBytes", default=67108864)
    header_timeout_ms: float = msgspec.field(
        name="HeaderTimeoutMs", default=3000.0
    )
    idle_timeout_ms: float = msgspec.field(
        name="IdleTimeoutMs", default=15000.0
    )


class _Metadata(msgspec.Struct):
    name: str = msgspec.field(name="Name", default="")


class _Resource(msgspec.Struct):
    #: "Routes", "Services" or "Limits"; other resources are ignored.
    type: str = msgspec.field(name="ResourceType")
    metadata: _Metadata = msgspec.field(
        name="Metadata", default_factory=_Metadata
    )
    spec: msgspec.Raw = msgspec.field(name="Spec", default=msgspec.Raw(b"{}"))


class _Document(msgspec.Struct):
    version: str = msgspec.field(name="Version")
    resources: list[_Resource] = msgspec.field(name="Resources")


def decode_configuration(document: bytes) -> gateway.Configuration:
    """Returns the configuration that a stored document describes.

    Raises:
        ConfigurationError: the document is not a valid configuration.
    """
    try:
        return _decode(document)
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        raise errors.ConfigurationError(
            f"cannot decode the stored configuration: {exc}", step=_STEP
        ) from exc


def _decode(document: bytes) -> gateway.Configuration:
    decoded = msgspec.json.decode(document, type=_Document)
    routes: list[gateway.Route] = []
    services: dict[str, gateway.Service] = {}
    limits = _LimitsSpec()
    for resource in decoded.resources:
        name = resource.metadata.name
        if resource.type == "Routes":
            spec = msgspec.json.decode(resource.spec, type=_RouteSpec)
            routes.append(_to_route(name, spec))
            continue
        if resource.type == "Services":
            service = msgspec.json.decode(resource.spec, type=_ServiceSpec)
            services[name] = gateway.Service(name, service.max_connections)
            continue
        if resource.type == "Limits":
            limits = msgspec.json.decode(resource.spec, type=_LimitsSpec)
    return gateway.Configuration(
        version=int(decoded.version.removeprefix(_VERSION_PREFIX)),
        routes=tuple(routes),
        services=services,
        limits=gateway.Limits(
            http1.MessageLimits(limits.header_bytes, limits.body_bytes),
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
        ),
        document=document,
    )


def _to_route(name: str, spec: _RouteSpec) -> gateway.Route:
    weighted_services = tuple(
        (part.service, part.weight) for part in spec.split
    )
    return gateway.Route(
        name=name,
        host=spec.host,
        prefix=spec.prefix,
        weighted_services=weighted_services or ((spec.service, 1.0),),
        idempotent=spec.idempotency == _IDEMPOTENT,
        timeout_s=spec.timeout_ms / 1000.0,
        target_latency_s=spec.target_latency_ms / 1000.0,
        max_attempts=spec.max_attempts,
        rank=spec.rank,
    )
