"""Links between nodes: one connection and one reading task per peer.

A node opens a link to the node of an upstream when it sends the first call
there. The calls and results of all requests are multiplexed on this link.
"""

import logging
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import gevent
import msgspec
from gevent import event

from flamingolug import errors
from flamingolug import http1
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _directory
from flamingolug.gateway import _dynamic_table
from flamingolug.gateway import _frames
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure

_LOGGER = logging.getLogger(__name__)
_READ_BYTES = 262144
#: Seconds to open a link: four round trips between the most distant zones,
#: 0.04 s by `_balance.ZONE_DELAY_S`, and scheduling delay on both sides.
CONNECT_TIMEOUT_S = 0.6
#: Seconds between checks of the links.
CHECK_INTERVAL_S = 0.25
#: Seconds without received data before a link with pending calls is probed.
BUSY_PROBE_S = 0.5
#: Seconds without received data after which such a link is treated as lost.
BUSY_RECEIVE_TIMEOUT_S = 1.75
#: Seconds between probes of a link without pending calls, if there are few.
IDLE_PROBE_S = 2.0
#: Probes in a second of all links together: a node of a large fleet has many
#: links with few calls each, and each probe wakes both nodes.
MAX_PROBES_PER_S = 8.0
#: Seconds after a probe without received data after which such a link is
#: treated as lost.
PROBE_RESPONSE_TIMEOUT_S = 2.5
#: Seconds without a call after which a link is closed.
MAX_IDLE_S = 30.0
#: Queued bytes above which calls are not sent and results wait. A peer that
#: does not read is detected by the time-outs of the connection.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
#: Highest pressure that is accepted from a peer; deadlines bound a queue well
#: below it.
MAX_REPORTED_PRESSURE = 20.0
#: What decoding a frame that no node has sent may raise.
MALFORMED = (msgspec.DecodeError, RecursionError, ValueError)
#: Seconds after a failed connection attempt before the next one to that peer.
RECONNECT_AFTER_S = 0.5


def idle_probe_interval_s(link_count: int) -> float:
    """Returns the seconds between probes of a link without pending calls."""
    return max(IDLE_PROBE_S, link_count / MAX_PROBES_PER_S)


def load_from_frame(frame: _frames.LoadFrame) -> _model.LoadReport:
    """Returns the load report that a frame carries, within possible bounds."""
    return _model.LoadReport(
        frame.running,
        frame.limit,
        tuple(frame.waiting),
        frame.hold_ms / 1000.0,
        frame.failing / 100.0,
        min(max(frame.pressure / 100.0, 0.0), MAX_REPORTED_PRESSURE),
        frame.bottleneck,
        min(max(frame.chain_depth, 0), _pressure.MAX_CHAIN_DEPTH),
        min(max(frame.expired / 100.0, 0.0), 1.0),
    )


def load_to_frame(load: _model.LoadReport) -> _frames.LoadFrame:
    """Returns the frame for a load report."""
    return _frames.LoadFrame(
        load.running,
        load.limit,
        list(load.waiting),
        int(load.hold_s * 1000),
        int(load.failure_ratio * 100),
        int(load.pressure * 100),
        load.bottleneck,
        load.chain_depth,
        int(load.expired_ratio * 100),
    )


class Dependencies(NamedTuple):
    """Dependencies of links."""

    cfg: _model.GatewaySettings
    timers: timing.Timers
    metrics: _metrics.Metrics
    #: Returns the version of the active configuration, 0 for none.
    version: Callable[[], int]
    #: Returns the document of the active configuration, None for none.
    document: Callable[[], bytes | None]
    #: Handles a configuration document from a peer.
    on_document: Callable[[bytes], None]
    #: Handles the state of a peer's upstream: address of the peer, id of the
    #: upstream that accepts calls (empty for none), load.
    on_status: Callable[[tuple[str, int], str, _model.LoadReport], None]
    #: Returns the position of the latest change of a directory entry that this
    #: node has seen.
    entries_position: Callable[[], store.Position]
    #: Handles the corresponding position of a peer; returns whether this node
    #: should request the peer's newer entries.
    on_entries_position: Callable[[store.Position], bool]
    #: Returns the position up to which this node has all ready entries.
    complete_position: Callable[[], store.Position]
    #: Returns the directory's entries after a position, None while it has read
    #: none.
    entries: Callable[[store.Position], _directory.KnownEntries | None]
    #: Catches up with the store; returns whether it has answered.
    catch_up: Callable[[], bool]
    #: Handles directory entries from a peer: the entries, and the address of
    #: the peer if this node opened the link.
    on_entries: Callable[
        [_directory.KnownEntries, tuple[str, int] | None], None
    ]
    #: Handles the departure of an upstream; calls the second argument once it
    #: is in the store, if the frame requests that.
    on_departure: Callable[[_frames.DepartureFrame, Callable[[], object]], None]
    #: Handles the number of a request whose departure a peer has recorded.
    on_departure_recorded: Callable[[int], None]


class FrameConnection:
    """One connection between two nodes.

    Frames that are sent in one iteration of the event loop are written
    together.
    """

    def __init__(self, stream: http1.Stream, peer: str) -> None:
        """Creates a connection that owns a connected stream."""
        self.peer = peer
        #: Clock reading at which a status frame was last sent.
        self.status_sent_at = 0.0
        #: Compresses values that this side sends.
        self.encoder = _dynamic_table.TableEncoder()
        #: Decompresses values that the peer sends.
        self.decoder = _dynamic_table.TableDecoder()
        self._stream = stream
        self._buffer: list[bytes] = []
        self._buffered = 0
        #: Bytes taken from the buffer that the socket has not accepted.
        self._sending = 0
        #: Set when there may be room again.
        self._room = event.Event()
        #: Whether a flush is scheduled or in progress.
        self._flushing = False
        #: Whether `finish` was called.
        self._finished = False
        self._loop = gevent.get_hub().loop

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
        return self._stream.closed

    @property
    def queued_bytes(self) -> int:
        """Bytes that the socket has not accepted, 0 once closed."""
        return 0 if self.closed else self._buffered + self._sending

    @property
    def has_room(self) -> bool:
        """Whether a call or a result may be queued."""
        return self.queued_bytes <= MAX_BUFFERED_BYTES

    def wait_for_room(self) -> None:
        """Waits until a result may be queued or the connection is closed."""
        while not self.has_room:
            self._room.clear()
            self._room.wait()

    def socket_queues(self) -> http1.Queued:
        """Returns the bytes in the buffers of the socket."""
        return self._stream.queued()

    def send(self, frame: _frames.Frame) -> bool:
        """Queues a frame; returns whether the connection accepted it."""
        if self.closed or self._finished:
            return False
        data = _frames.encode(frame)
        self._buffer.append(data)
        self._buffered += len(data)
        if not self._flushing:
            self._flushing = True
            self._loop.run_callback(self._flush)
        return True

    def read(self) -> Iterator[list[_frames.Frame]]:
        """Yields the frames completed by each read until the link ends."""
        frame_decoder = _frames.FrameDecoder()
        while True:
            try:
                data = self._stream.recv(_READ_BYTES)
            except OSError:
                # The calling side logs the loss of the link.
                return
            if not data:
                return
            try:
                frames = frame_decoder.feed(data)
            except MALFORMED as exc:
                self.log_unreadable(exc)
                return
            yield frames

    def log_unreadable(self, exc: Exception) -> None:
        """Logs that the peer sent bytes that can't be decoded."""
        telemetry.event(
            _LOGGER,
            "link.unreadable",
            level=logging.WARNING,
            peer=self.peer,
            error=exc,
        )

    def finish(self) -> None:
        """Closes the sending direction; the peer then closes the connection."""
        if self.closed or self._finished:
            return
        self._finished = True
        try:
            self._stream.shutdown_write()
        except OSError as exc:
            self._fail(exc)

    def close(self) -> None:
        """Closes the connection; logs how many queued bytes are dropped."""
        if self.queued_bytes:
            telemetry.event(
                _LOGGER,
                "link.undelivered",
                level=logging.WARNING,
                peer=self.peer,
                queued=self.queued_bytes,
            )
        self._stream.close()
        self._room.set()

    def _drain_buffer(self) -> bytes:
        buffer, self._buffer = self._buffer, []
        self._buffered = 0
        return buffer[0] if len(buffer) == 1 else b"".join(buffer)

    def _flush(self) -> None:
        """Sends queued frames; runs in the event loop and never blocks."""
        if self.closed:
            return
        data = self._drain_buffer()
        try:
            sent = self._stream.send_now(data)
        except OSError as exc:
            self._fail(exc)
            return
        if sent < len(data):
            self._sending = len(data) - sent
            gevent.spawn(self._send_rest, data[sent:])
            return
        self._flushing = False

    def _send_rest(self, data: bytes) -> None:
        """Sends data the socket did not accept, then frames queued since."""
        try:
            while data:
                self._stream.send_all(data)
                data = self._drain_buffer()
                self._sending = len(data)
                self._room.set()
        except OSError as exc:
            self._fail(exc)
            return
        self._flushing = False

    def _fail(self, exc: OSError) -> None:
        if not self.closed:
            telemetry.event(
                _LOGGER, "link.write_failed", peer=self.peer, error=exc
            )
            self.close()


class PendingCall:
    """A call whose result is pending."""

    def __init__(self, number: int) -> None:
        """Creates a pending call with its number on the link."""
        self.number = number
        self.result: event.AsyncResult[_model.Outcome] = event.AsyncResult()


class Link:
    """The calling side of a link to one peer."""

    def __init__(self, address: tuple[str, int], deps: Dependencies) -> None:
        """Creates a link that is not connected yet."""
        self.address = address
        self.peer = f"{address[0]}:{address[1]}"
        #: Calls whose result is pending, by number.
        self.pending: dict[int, PendingCall] = {}
        self.ended = False
        now = deps.timers.now()
        #: Clock reading from which the receive time-out runs: the latest of
        #: creation, connection, last data received, and last call that was made
        #: while no other was pending.
        self.inactive_since = now
        self.last_call_at = now
        #: Clock reading at which the last ping was sent.
        self.probed_at = 0.0
        self._deps = deps
        self._connection: FrameConnection | None = None
        self._last_number = 0
        self._connected = event.Event()
        gevent.spawn(self._run)

    @property
    def queued_bytes(self) -> int:
        """Bytes of frames that have not been written yet."""
        return self._connection.queued_bytes if self._connection else 0

    def wait_connected(self, timeout_s: float) -> bool:
        """Returns whether the link becomes usable within `timeout_s`."""
        if not self._connected.is_set():
            self._connected.wait(timeout_s)
        return self._connection is not None and not self.ended

    def call(self, call: _model.Call) -> PendingCall:
        """Sends a call.

        Raises:
            PeerUnreachableError: the call was not sent to the peer.
        """
        now = self._deps.timers.now()
        self.last_call_at = now
        if not self.pending:
            # The time-out starts with the first call that awaits a result.
            self.inactive_since = max(self.inactive_since, now)
        connection = self._connection
        # Checked before the frame is encoded, since that changes the encoder.
        if connection is None or not connection.has_room:
            raise self._unreachable()
        self._last_number += 1
        pending = PendingCall(self._last_number)
        encoder = connection.encoder
        frame = _frames.CallFrame(
            pending.number,
            call.request_id,
            encoder.encode(call.upstream_id.encode()),
            encoder.encode(call.origin_service.encode()),
            encoder.encode(call.method),
            call.target,
            encoder.encode_headers(call.headers),
            call.body,
            int((call.deadline - now) * 1000),
            max(int((call.wait_until - now) * 1000), 0),
            call.rank,
            call.idempotent,
            encoder.encode(call.route.encode()),
        )
        if not connection.send(frame):
            raise self._unreachable()
        self.pending[pending.number] = pending
        return pending

    def _unreachable(self) -> errors.PeerUnreachableError:
        return errors.PeerUnreachableError(
            "link is not available", step="link.send", peer=self.peer
        )

    def send(self, frame: _frames.Frame) -> None:
        """Sends a frame that is no call.

        Raises:
            PeerUnreachableError: the frame was not sent to the peer.
        """
        if self._connection is None or not self._connection.send(frame):
            raise self._unreachable()

    def cancel(self, pending: PendingCall) -> None:
        """Notifies the peer that the result of a call is not awaited."""
        if self.pending.pop(pending.number, None) is None:
            return
        if self._connection is not None:
            self._connection.send(_frames.CancelFrame(pending.number))

    def check(self, idle_probe_s: float) -> None:
        """Probes an inactive link and ends one that timed out.

        Args:
            idle_probe_s: seconds between probes without pending calls.
        """
        if self._connection is None or self.ended:
            return
        now = self._deps.timers.now()
        inactive_s = now - self.inactive_since
        busy = bool(self.pending)
        probe_after_s = BUSY_PROBE_S if busy else idle_probe_s
        timeout_s = (
            BUSY_RECEIVE_TIMEOUT_S
            if busy
            else idle_probe_s + PROBE_RESPONSE_TIMEOUT_S
        )
        if inactive_s > timeout_s and self.probed_at > self.inactive_since:
            self.end("silent")
            return
        if not busy and now - self.last_call_at > MAX_IDLE_S:
            self.end("idle")
            return
        if inactive_s > probe_after_s and now - self.probed_at > probe_after_s:
            self.probed_at = now
            position = self._deps.entries_position()
            self._connection.send(
                _frames.Ping(
                    self._deps.version(), position.revision, position.era
                )
            )

    def end(self, reason: str) -> None:
        """Ends the link; the outcome of its pending calls is unknown.

        Args:
            reason: why it ends; "idle" if that is not a loss of the link.
        """
        if self.ended:
            return
        self.ended = True
        self._connected.set()
        if self._connection is not None:
            self._connection.close()
        pending, self.pending = self.pending, {}
        if reason != "idle":
            self._deps.metrics.counters.add(_metrics.LINKS_LOST, reason)
            telemetry.event(
                _LOGGER,
                "link.lost",
                level=logging.WARNING,
                peer=self.peer,
                reason=reason,
                pending=len(pending),
                quiet_s=round(self._deps.timers.now() - self.inactive_since, 3),
            )
        for call in pending.values():
            call.result.set(_model.unknown("link-lost"))

    def _run(self) -> None:
        try:
            stream = http1.open_stream(
                self.address[0], self.address[1], CONNECT_TIMEOUT_S
            )
        except OSError as exc:
            telemetry.event(
                _LOGGER,
                "link.unreachable",
                level=logging.WARNING,
                peer=self.peer,
                error=exc,
            )
            self.end("unreachable")
            return
        self.inactive_since = self._deps.timers.now()
        self._connection = FrameConnection(stream, self.peer)
        self._connection.send(make_hello(self._deps))
        self._connected.set()
        try:
            for frames in self._connection.read():
                self.inactive_since = self._deps.timers.now()
                for frame in frames:
                    self._handle_frame(self._connection, frame)
        except MALFORMED as exc:
            self._connection.log_unreadable(exc)
        finally:
            self.end("closed")

    def _handle_frame(
        self, connection: FrameConnection, frame: _frames.Frame
    ) -> None:
        if isinstance(frame, _frames.ResultFrame):
            # Always decoded, since header fields may define table entries.
            outcome = _to_outcome(frame, connection.decoder)
            pending = self.pending.pop(frame.number, None)
            if pending is not None:
                pending.result.set(outcome)
            return
        if isinstance(frame, _frames.Status):
            self._deps.on_status(
                self.address, frame.upstream_id, load_from_frame(frame.load)
            )
        handle_shared_frame(connection, frame, self._deps, self.address)


def make_hello(deps: Dependencies) -> _frames.Hello:
    """Returns the first frame on a link."""
    identity = deps.cfg.identity
    position = deps.entries_position()
    return _frames.Hello(
        identity.name,
        identity.zone,
        deps.version(),
        position.revision,
        position.era,
    )


def handle_shared_frame(
    connection: FrameConnection,
    frame: _frames.Frame,
    deps: Dependencies,
    address: tuple[str, int] | None = None,
) -> None:
    """Handles a frame that is handled alike on both sides of a link.

    Args:
        connection: connection that the frame came on.
        frame: the frame.
        deps: dependencies of links.
        address: address of the peer if this node opened the link.
    """
    if isinstance(frame, _frames.Hello | _frames.Ping | _frames.Status):
        if frame.version > deps.version():
            connection.send(_frames.ConfigurationRequest())
        position = store.Position(frame.entries_era, frame.entries_revision)
        if deps.on_entries_position(position):
            after = deps.complete_position()
            connection.send(
                _frames.EntriesRequest(after.revision, after_era=after.era)
            )
        return
    if isinstance(frame, _frames.ConfigurationRequest):
        document = deps.document()
        if document is not None:
            connection.send(_frames.ConfigurationFrame(document))
        return
    if isinstance(frame, _frames.ConfigurationFrame):
        deps.on_document(frame.document)
        return
    if isinstance(frame, _frames.EntriesRequest):
        if frame.read_store:
            gevent.spawn(_send_current_entries, connection, frame, deps)
        else:
            _send_entries(connection, frame, deps, is_current=False)
        return
    if isinstance(frame, _frames.DepartureFrame):
        recorded = _frames.DepartureRecorded(frame.number)
        deps.on_departure(frame, lambda: connection.send(recorded))
        return
    if isinstance(frame, _frames.DepartureRecorded):
        deps.on_departure_recorded(frame.number)
        return
    if isinstance(frame, _frames.EntriesFrame):
        deps.on_entries(
            _directory.KnownEntries(
                [_from_entry_frame(entry) for entry in frame.entries],
                [_from_entry_frame(entry) for entry in frame.departures],
                frame.is_current,
            ),
            address,
        )


def _send_current_entries(
    connection: FrameConnection,
    request: _frames.EntriesRequest,
    deps: Dependencies,
) -> None:
    is_current = deps.catch_up()
    _send_entries(connection, request, deps, is_current=is_current)


def _send_entries(
    connection: FrameConnection,
    request: _frames.EntriesRequest,
    deps: Dependencies,
    *,
    is_current: bool,
) -> None:
    """Sends the entries that this node has, if it knows of departures."""
    known = deps.entries(
        store.Position(request.after_era, request.after_revision)
    )
    if known is None:
        return
    connection.send(
        _frames.EntriesFrame(
            [_to_entry_frame(item) for item in known.ready],
            [_to_entry_frame(item) for item in known.departed],
            is_current,
        )
    )


def _to_entry_frame(item: store.Item) -> _frames.EntryFrame:
    position = item.position
    return _frames.EntryFrame(
        item.key, item.value or b"", position.revision, position.era
    )


def _from_entry_frame(frame: _frames.EntryFrame) -> store.Item:
    return store.Item(
        frame.key, frame.value, store.Position(frame.era, frame.revision)
    )


def _to_outcome(
    frame: _frames.ResultFrame, decoder: _dynamic_table.TableDecoder
) -> _model.Outcome:
    verdict = _model.Verdict(frame.verdict)
    response = None
    if verdict is _model.Verdict.ANSWERED:
        headers = decoder.decode_headers(frame.headers)
        response = http1.Response(frame.status, headers, frame.body, True)
    load = load_from_frame(frame.load) if frame.load is not None else None
    return _model.Outcome(
        verdict, frame.reason, response, load, frame.arrived, frame.nested
    )


class Links:
    """All links that this node has opened."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an empty set of links."""
        self._deps = deps
        self._links: dict[tuple[str, int], Link] = {}
        self._failed_at: dict[tuple[str, int], float] = {}

    def start(self) -> None:
        """Starts the periodic check of the links."""
        self._deps.timers.every(CHECK_INTERVAL_S, self._check)

    def link_to(self, address: tuple[str, int], wait_s: float) -> Link:
        """Returns a usable link to a peer.

        Raises:
            PeerUnreachableError: no link could be opened; nothing was sent.
        """
        link = self._links.get(address)
        if link is None or link.ended:
            failed_at = self._failed_at.get(address)
            now = self._deps.timers.now()
            if failed_at is not None and now - failed_at < RECONNECT_AFTER_S:
                raise errors.PeerUnreachableError(
                    "last connection attempt failed moments ago",
                    step="link.open",
                    peer=f"{address[0]}:{address[1]}",
                )
            link = Link(address, self._deps)
            self._links[address] = link
        if not link.wait_connected(min(wait_s, CONNECT_TIMEOUT_S)):
            self._failed_at[address] = self._deps.timers.now()
            raise errors.PeerUnreachableError(
                "connection could not be established",
                step="link.open",
                peer=link.peer,
            )
        self._failed_at.pop(address, None)
        return link

    def is_live(self, address: tuple[str, int]) -> bool:
        """Returns whether there is a link to a peer that has not timed out."""
        link = self._links.get(address)
        if link is None or link.ended:
            return False
        return (
            self._deps.timers.now() - link.inactive_since
            < self._idle_probe_s + PROBE_RESPONSE_TIMEOUT_S
        )

    def live_count(self) -> int:
        """Returns the number of links to peers that have not timed out."""
        return sum(self.is_live(address) for address in self._links)

    def queued_bytes(self) -> int:
        """Returns the bytes of frames that have not been written yet."""
        return sum(link.queued_bytes for link in self._links.values())

    def stop(self) -> None:
        """Ends all links."""
        for link in list(self._links.values()):
            # As for an idle link, no loss is logged.
            link.end("idle")

    @property
    def _idle_probe_s(self) -> float:
        return idle_probe_interval_s(len(self._links))

    def _check(self) -> None:
        idle_probe_s = self._idle_probe_s
        for address, link in list(self._links.items()):
            link.check(idle_probe_s)
            if link.ended and self._links.get(address) is link:
                del self._links[address]
