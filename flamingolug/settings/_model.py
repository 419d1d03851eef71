"""Typed form of a node's settings."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(NamedTuple):
    """Everything that a node learns from its settings file."""

    #: Unique name of the node.
    name: str
    region: str
    availability_zone: str
    #: Where callers and backend servers reach this node.
    http_address: Address
    #: Where other nodes reach this node.
    peer_address: Address
    #: Where the node binds instead, when a relay stands in front of it.
    peer_bind_address: Address
    #: Secret shared by all nodes and operators of a deployment.
    peer_key: str
    #: Base URL of the key-value service, empty for none.
    store_url: str
    #: Peer addresses to try for first contact besides the store.
    seeds: tuple[Address, ...]
    max_request_body_bytes: int
    max_response_body_bytes: int
    #: Seconds that a planned stop waits for requests in progress.
    drain_timeout_s: float
    #: `full`, or `none` for round robin with three tries and no limits,
    #: which serves as the baseline of measurements.
    control: str
    log_level: str
    #: URL of an OTLP/HTTP metrics receiver, empty for none.
    otlp_endpoint: str
    #: Seconds between exports of metrics.
    otlp_interval_s: float
