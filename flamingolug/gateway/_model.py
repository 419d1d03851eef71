"""Values that the parts of the gateway exchange."""

import enum
from typing import NamedTuple

from flamingolug import http1


class Route(NamedTuple):
    """One route of the configuration in force."""

    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: Services with the weights by which requests are split among them.
    parts: tuple[tuple[str, float], ...]
    #: Whether a request may run more than once.
    idempotent: bool
    #: Longest time that a caller is kept waiting.
    timeout_s: float
    #: Time within which an answer has its full worth.
    target_latency_s: float
    #: Upstreams that one request may be sent to at most.
    max_attempts: int
    #: Urgency; 0 is the most urgent.
    rank: int


class Service(NamedTuple):
    """What the configuration says of one service."""

    name: str
    #: Connections that one upstream accepts from all callers together.
    max_connections: int


class Limits(NamedTuple):
    """What a caller may send, and how long it may take."""

    message: http1.MessageLimits
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    #: The document as stored, passed on to nodes that lack it.
    document: bytes


class UpstreamState(enum.StrEnum):
    """What an upstream last said of itself."""

    READY = "ready"
    DRAINING = "draining"
    #: It has left, or ends as soon as its last request is done.
    GONE = "gone"


class Upstream(NamedTuple):
    """One run of a backend server, as its own node announces it."""

    #: Identity of the run; a request for another identity is refused there.
    id: str
    service: str
    zone: str
    #: Host and port at which its node accepts links.
    host: str
    port: int
    slots: int
    state: UpstreamState
    #: Unix milliseconds of its start; tells two runs with one id apart.
    start_time_ms: int
    #: Number of the report that this rests on; grows within one run.
    sequence: int


class Report(NamedTuple):
    """What a backend server reports of itself to its own node."""

    id: str
    service: str
    slots: int
    state: UpstreamState
    #: Seconds for which it will still be slow after its start.
    warmup_s: float
    start_time_ms: int
    sequence: int


class Call(NamedTuple):
    """A request on its way to one upstream."""

    request_id: str
    upstream_id: str
    #: Service beside the node at which the request began.
    caller: str
    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes
    #: Clock reading after which nobody waits for the answer.
    deadline: float
    #: Clock reading until which it may wait for a slot.
    wait_until: float
    rank: int
    idempotent: bool
    #: Name of the route.
    route: str


class Verdict(enum.Enum):
    """What became of a call."""

    #: The upstream's own answer is in `Outcome.response`.
    ANSWERED = 1
    #: It has not run and never will.
    NOT_RUN = 2
    #: It may have run; there is no answer.
    UNKNOWN = 3


class LoadReport(NamedTuple):
    """Load of an upstream as its gate sees it."""

    running: int
    limit: int
    #: Calls that wait, by rank; the last one counts all further ranks.
    waiting: tuple[int, ...]
    #: Mean time for which a call holds a slot, seconds.
    hold_s: float
    #: Part of recent calls that the upstream refused or failed, 0 to 1.
    failing: float
    #: Running and waiting calls over the limit, of this upstream or of the
    #: services that it calls, whichever is highest; above 1 calls wait.
    pressure: float = 0.0


class Outcome(NamedTuple):
    """Result of a call, with the reason where there is no answer."""

    verdict: Verdict
    reason: str = ""
    response: http1.Response | None = None
    load: LoadReport | None = None
    #: Whether bytes of the request reached the upstream.
    arrived: bool = False
    #: Whether running requests of backend servers wait for calls like this.
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
    """Who this node is, from its settings."""

    name: str
    zone: str
    host: str
    #: Service of the backend server beside it.
    service: str


class RetryBounds(NamedTuple):
    """How many repeated arrivals the whole fleet may cause at a service."""

    #: Repeats over first arrivals.
    ratio: float
    #: Repeats that are free in each window.
    slack: float
    window_s: float


class GatewaySettings(NamedTuple):
    """Settings of one gateway process."""

    identity: NodeIdentity
    #: Host and port of the backend server.
    app: tuple[str, int]
    #: Where callers connect.
    outbound: tuple[str, int]
    #: Where readiness is asked.
    ready: tuple[str, int]
    #: Where the backend server reports.
    control: tuple[str, int]
    #: Where other nodes connect, as they are told.
    link: tuple[str, int]
    #: Where this node listens for them; another address than `link` behind
    #: address translation.
    link_listen: tuple[str, int]
    #: Where metrics are served; None for nowhere.
    metrics: tuple[str, int] | None
    store: tuple[str, int]
    #: Shortest lease that the store grants.
    min_lease_s: float
    report_interval_s: float
    #: Time from SIGTERM to SIGKILL.
    grace_s: float
    retries: RetryBounds
