"""Typed form of the settings of a node."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(NamedTuple):
    """Settings of one node, with defaults filled in."""

    #: Name of the node, unique in the deployment.
    name: str
    region: str
    availability_zone: str
    #: Address at which callers and backend servers connect to this node.
    http_address: Address
    #: Address at which other nodes connect to this node.
    peer_address: Address
    #: Address at which the node listens for peers; differs from `peer_address`
    #: when peers connect through a relay.
    peer_bind_address: Address
    #: Secret shared by all nodes and operators of a deployment.
    peer_key: str
    #: Base URL of the key-value store; empty for none.
    store_url: str
    #: Peer addresses at which the node tries to join the fleet, in addition to
    #: those in the store.
    seeds: tuple[Address, ...]
    max_request_body_bytes: int
    max_response_body_bytes: int
    #: Seconds that a graceful stop waits for requests in progress.
    drain_timeout_s: float
    #: Overload control: `full`, or `none` for round robin with three attempts
    #: and no limits, which is the baseline of measurements.
    control: str
    #: Lowest level that is logged: `debug`, `info`, `warning` or `error`.
    log_level: str
    #: URL of an OTLP/HTTP metrics receiver; empty for none.
    otlp_endpoint: str
    #: Seconds between exports of metrics.
    otlp_interval_s: float
