"""Data types shared by the modules of the gateway."""

import enum
from typing import Annotated
from typing import NamedTuple

import msgspec

from flamingolug import http1

#: Identifier of an upstream, or name of a service or zone. With a prefix, an
#: identifier fits a key of the store.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
#: TCP port that a connection can be opened to.
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
#: Number of calls that a backend server can run at once.
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
#: Sequence number or milliseconds since the Unix epoch, in the range that every
#: encoding has.
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Route(NamedTuple):
    """One route of the active configuration."""

    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: Names and weights of the services among which requests are split.
    weighted_services: tuple[tuple[str, float], ...]
    #: Whether a request may safely run more than once.
    idempotent: bool
    #: Seconds after which upstreams must have answered, unless the caller's
    #: deadline is earlier.
    timeout_s: float
    #: Latency target, seconds; a later response counts as late.
    target_latency_s: float
    #: Maximum number of attempts of one request that reach, or may have
    #: reached, an upstream; refusals by gates do not count.
    max_attempts: int
    #: Priority; 0 is the highest.
    rank: int


class Service(NamedTuple):
    """Settings of one service in the configuration."""

    name: str
    #: Maximum number of connections that one upstream accepts in total.
    max_connections: int


class Limits(NamedTuple):
    """Limits on the size and duration of requests from callers."""

    message: http1.MessageLimits
    #: Seconds without data after which a request received in part is answered
    #: with status 408.
    header_timeout_s: float
    #: Seconds after which a connection without a request is closed.
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    #: The document as stored; sent unchanged to nodes that lack it.
    document: bytes


class UpstreamState(enum.StrEnum):
    """State that an upstream reported last."""

    READY = "ready"
    #: Accepts no new calls; still sends reports.
    DRAINING = "draining"
    #: Has sent a leave notice; it has stopped, or stops as soon as its last
    #: request is complete.
    GONE = "gone"


class Upstream(NamedTuple):
    """One incarnation of a backend server, as announced by its node."""

    #: Identifier that the backend server reports; its node refuses calls that
    #: are addressed to another one.
    id: Name
    service: Name
    zone: Name
    #: IPv4 address and port at which its node accepts links.
    host: str
    port: Port
    #: Number of calls that the backend server declares it can run at once.
    slots: SlotCount
    state: UpstreamState
    #: Unix time of its start in milliseconds; distinguishes two incarnations
    #: with the same id.
    start_time_ms: Counter
    #: Sequence number of the report from which this announcement was made;
    #: increases within one incarnation.
    sequence: Counter


class Report(NamedTuple):
    """Report of a backend server to its own node."""

    id: str
    service: str
    #: Number of calls that the backend server declares it can run at once.
    slots: int
    state: UpstreamState
    #: Remaining seconds of the slow phase after its start.
    warmup_s: float
    start_time_ms: int
    sequence: int


class Call(NamedTuple):
    """A request that is sent to one upstream."""

    request_id: str
    upstream_id: str
    #: Service of the node that received the request from its caller.
    origin_service: str
    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes
    #: Clock reading at which the upstream must have answered.
    deadline: float
    #: Clock reading until which the call may wait for a slot.
    wait_until: float
    rank: int
    idempotent: bool
    #: Name of the route.
    route: str


class Verdict(enum.Enum):
    """Final state of a call."""

    #: The upstream responded; its response is in `Outcome.response`.
    ANSWERED = 1
    #: The call has not run and never will.
    NOT_RUN = 2
    #: The call may have run; there is no response.
    UNKNOWN = 3


class LoadReport(NamedTuple):
    """Load of an upstream as measured by its gate."""

    running: int
    #: Number of calls that the gate runs at once, which is
    #: `_gate.USABLE_SLOTS_FRACTION` of the declared slots, at least 1.
    limit: int
    #: Number of waiting calls by rank; the last element also counts all less
    #: urgent ranks.
    waiting: tuple[int, ...]
    #: Mean time in seconds for which a call holds a slot.
    hold_s: float
    #: Fraction of recent calls that the upstream refused or failed, 0 to 1.
    failure_ratio: float
    #: Ratio of running and waiting calls to the limit: the highest value
    #: among this upstream and the services that it calls. Above 1, calls
    #: wait.
    pressure: float = 0.0
    #: Service that has this pressure; empty if it is too low to matter.
    bottleneck: str = ""
    #: Longest chain of calls below the upstream's service, 0 for a service that
    #: calls none.
    chain_depth: int = 0
    #: Fraction of the recent calls of the bottleneck that its gate refused
    #: because they could not end in time, 0 to 1.
    expired_ratio: float = 0.0


class Outcome(NamedTuple):
    """Result of a call, with the reason if there is no response."""

    verdict: Verdict
    reason: str = ""
    response: http1.Response | None = None
    load: LoadReport | None = None
    #: Whether the request reached the upstream or may have reached it.
    arrived: bool = False
    #: Whether calls of this route are made by backend servers that are
    #: processing requests.
    nested: bool = False


def not_run(
    reason: str, load: LoadReport | None = None, arrived: bool = False
) -> Outcome:
    """Returns the outcome of a call that has not run and never will."""
    return Outcome(Verdict.NOT_RUN, reason, None, load, arrived)


def unknown(reason: str, load: LoadReport | None = None) -> Outcome:
    """Returns the outcome of a call that may have run."""
    return Outcome(Verdict.UNKNOWN, reason, None, load, True)


class NodeIdentity(NamedTuple):
    """Identity of this node, from its settings."""

    name: str
    zone: str
    host: str
    #: Service of its backend server.
    service: str


class RetryBounds(NamedTuple):
    """Limits on the retries that all nodes together send to a service."""

    #: Ratio of retries to first attempts.
    ratio: float
    #: Retries that are allowed in each window regardless of the ratio.
    slack: float
    window_s: float


class GatewaySettings(NamedTuple):
    """Settings of one node process."""

    identity: NodeIdentity
    #: Host and port of the backend server.
    app: tuple[str, int]
    #: Address at which callers connect.
    outbound: tuple[str, int]
    #: Address of the readiness check.
    ready: tuple[str, int]
    #: Address to which the backend server reports.
    control: tuple[str, int]
    #: Address that is announced to other nodes for their links.
    link: tuple[str, int]
    #: Address on which this node listens for links; differs from `link`
    #: behind network address translation.
    link_listen: tuple[str, int]
    #: Address at which metrics are served; None disables them.
    metrics: tuple[str, int] | None
    #: Address of the store.
    store: tuple[str, int]
    #: Shortest lease that the store grants.
    min_lease_s: float
    report_interval_s: float
    #: Time from SIGTERM to SIGKILL.
    grace_s: float
    retries: RetryBounds
    #: Seconds within which a node must notice that a response of the store was
    #: lost, so that it follows the configuration again.
    detection_s: float = 3.0
    #: Memory above which the platform ends the process.
    memory_bytes: int = 300_000_000
    #: Write calls that all nodes together may make to the store in a second.
    store_writes_per_s: float = 400.0
