"""Serves calls from peers.

Runs, answers and cancels calls. After a lost link, reports to the sender
whether a call has arrived.
"""

from typing import NamedTuple

import gevent

from flamingolug import calls
from flamingolug import membership
from flamingolug import peers
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _message_codec
from flamingolug.node import _upstream

#: Seconds that an answer is retained for a sending node whose link was lost.
ANSWER_RETENTION_S = 4.0
#: Seconds that a call is barred: dropped if it arrives after the sender was
#: informed that it had not arrived. Longer than any deadline.
BARRED_RETENTION_S = 300.0
PURGE_INTERVAL_S = 1.0
PAUSE_CHECK_INTERVAL_S = 0.1
#: The process counts as paused when the last pause check is more than this many
#: seconds ago.
PAUSE_THRESHOLD_S = 0.5
#: Seconds after a pause in which calls with a key are refused, while messages
#: that were buffered during the pause are read; see `_may_be_stale`.
STALE_CALL_WINDOW_S = 0.3
#: Maximum total size of the bodies of retained answers, in bytes.
MAX_RETAINED_BYTES = 16_777_216
BARRED = "flamingolug.peer.calls.barred"
UNDELIVERED = "flamingolug.peer.answers.undelivered"

#: Incarnation of the sender and message id of a call.
_CallId = tuple[int, int]


class _RunningCall:
    """A call in progress.

    `reply_routing_id` identifies the connection that gets the answer; it
    changes when the link to the sender is replaced.
    """

    def __init__(self, reply_routing_id: bytes) -> None:
        self.reply_routing_id = reply_routing_id
        self.task: gevent.Greenlet[..., None] | None = None


class _CompletedCall(NamedTuple):
    message: peers.AnswerMessage
    body: bytes
    completed_at: float


class Dependencies(NamedTuple):
    """Dependencies of `InboundCalls`."""

    endpoint: peers.Endpoint
    upstream: _upstream.LocalUpstream
    members: membership.Membership
    loads: membership.PeerLoads
    codec: _message_codec.MessageCodec
    timers: timing.Timers
    counters: telemetry.Counters
    incarnation: int


class InboundCalls:
    """Serves calls from peers on the upstream of this node."""

    def __init__(self, deps: Dependencies) -> None:
        """Registers the message handlers."""
        deps.counters.declare(BARRED, "Calls dropped because barred")
        deps.counters.declare(
            UNDELIVERED, "Answers whose peer connection was gone"
        )
        self._deps = deps
        self._running: dict[_CallId, _RunningCall] = {}
        self._completed: dict[_CallId, _CompletedCall] = {}
        self._retained_bytes = 0
        self._barred: dict[_CallId, float] = {}
        self._last_check_at = deps.timers.now()
        self._refuse_keyed_until = float("-inf")
        # Highest message id, by incarnation of the sender, of a call whose
        # answer is no longer retained.
        self._evicted_up_to: dict[int, int] = {}
        endpoint = deps.endpoint
        endpoint.on(peers.MessageType.CALL, self._on_call)
        endpoint.on(peers.MessageType.CANCEL, self._on_cancel)
        endpoint.on(peers.MessageType.SETTLE, self._on_settle)
        endpoint.on(peers.MessageType.PING, self._on_ping)
        endpoint.on(peers.MessageType.OUTCOME, self._on_outcome)

    def start(self) -> None:
        """Starts the purge of old answers and the pause check."""
        self._deps.timers.every(PURGE_INTERVAL_S, self._purge)
        self._deps.timers.every(PAUSE_CHECK_INTERVAL_S, self._check_for_pause)

    def is_busy(self) -> bool:
        """Returns whether calls of peers are in progress."""
        return bool(self._running)

    def _on_call(self, inbound: peers.InboundMessage) -> None:
        message: peers.CallMessage = inbound.message
        call_id = (message["org"], message["id"])
        if call_id in self._barred:
            self._deps.counters.add(BARRED)
            return
        if call_id in self._running or call_id in self._completed:
            return
        running = _RunningCall(inbound.routing_id)
        self._running[call_id] = running
        running.task = gevent.spawn(
            self._serve, call_id, running, message, inbound.body
        )
        # A task that is killed before its first step never runs `_serve`, so
        # the call is also removed from `_running` here.
        running.task.link(lambda task: self._running.pop(call_id, None))

    def _serve(
        self,
        call_id: _CallId,
        running: _RunningCall,
        message: peers.CallMessage,
        body: bytes,
    ) -> None:
        try:
            outcome = self._run_call(message, body)
        except gevent.GreenletExit:
            outcome = calls.unknown(
                "cancelled", "inbound", "", message["share"]
            )
        except Exception as exc:
            outcome = calls.unknown(repr(exc), "inbound", "", message["share"])
        self._running.pop(call_id, None)
        answer = self._deps.codec.encode_outcome(
            message["id"], outcome, self._deps.loads.own_report()
        )
        self._retain(
            call_id,
            _CompletedCall(answer, outcome.body, self._deps.timers.now()),
        )
        self._send(running.reply_routing_id, answer, outcome.body)

    def _run_call(
        self, message: peers.CallMessage, body: bytes
    ) -> calls.Outcome:
        node_name = self._deps.members.table.own.name
        if message["to"] != self._deps.incarnation or (
            self._may_be_stale(message)
        ):
            incarnation_id = self._deps.members.table.own.incarnation_id()
            return calls.not_run(
                telemetry.Refusal.NO_RIGHT, "inbound", incarnation_id
            )
        call = self._deps.codec.decode_call(message, body)
        if call is None:
            return calls.not_run(
                telemetry.Refusal.UNKNOWN_KIND, "inbound", node_name
            )
        return self._deps.upstream.serve(call)

    def _check_for_pause(self) -> None:
        """Detects that this process was paused."""
        now = self._deps.timers.now()
        if now - self._last_check_at > PAUSE_THRESHOLD_S:
            self._refuse_keyed_until = now + STALE_CALL_WINDOW_S
        self._last_check_at = now

    def _may_be_stale(self, message: peers.CallMessage) -> bool:
        """Returns whether a call with a key may have been buffered in a pause.

        A call carries its remaining time, which does not decrease while the
        call is in a socket buffer. By now, a later attempt with the same key
        may have been answered as not run. Running this one would contradict
        that answer.
        """
        if not message["key"]:
            return False
        now = self._deps.timers.now()
        return (
            now - self._last_check_at > PAUSE_THRESHOLD_S
            or now < self._refuse_keyed_until
        )

    def _on_cancel(self, inbound: peers.InboundMessage) -> None:
        message: peers.CancelMessage = inbound.message
        running = self._running.get((message["org"], message["id"]))
        if running is not None and running.task is not None:
            running.task.kill(block=False)

    def _on_settle(self, inbound: peers.InboundMessage) -> None:
        """Replies with the state of a call and bars a call not yet received.

        A barred call is dropped if it arrives later.
        """
        message: peers.SettleMessage = inbound.message
        call_id = (message["org"], message["id"])
        completed = self._completed.get(call_id)
        if completed is not None:
            self._send(inbound.routing_id, completed.message, completed.body)
            return
        running = self._running.get(call_id)
        if message["to"] != self._deps.incarnation:
            state = "foreign"
        elif running is not None:
            running.reply_routing_id = inbound.routing_id
            state = "running"
        elif message["id"] <= self._evicted_up_to.get(message["org"], 0):
            # The call may have run and its answer may have been evicted.
            state = "foreign"
        else:
            self._barred[call_id] = self._deps.timers.now()
            state = "barred"
        self._deps.endpoint.reply(
            inbound.routing_id,
            peers.MessageType.SETTLED,
            {"id": message["id"], "state": state},
        )

    def _on_outcome(self, inbound: peers.InboundMessage) -> None:
        message: peers.OutcomeRequestMessage = inbound.message
        outcome = self._deps.upstream.query_outcome(message["key"])
        answer = self._deps.codec.encode_outcome(
            message["id"], outcome, self._deps.loads.own_report()
        )
        self._send(inbound.routing_id, answer, outcome.body)

    def _on_ping(self, inbound: peers.InboundMessage) -> None:
        pong = self._deps.members.make_pong(inbound.message)
        self._deps.endpoint.reply(
            inbound.routing_id, peers.MessageType.PONG, pong
        )

    def _send(
        self, routing_id: bytes, answer: peers.AnswerMessage, body: bytes
    ) -> None:
        delivered = self._deps.endpoint.reply(
            routing_id, peers.MessageType.ANSWER, answer, body
        )
        if not delivered:
            self._deps.counters.add(UNDELIVERED)

    def _retain(self, call_id: _CallId, completed: _CompletedCall) -> None:
        """Retains an answer and evicts the oldest beyond the size limit."""
        self._completed[call_id] = completed
        self._retained_bytes += len(completed.body)
        while self._retained_bytes > MAX_RETAINED_BYTES:
            self._evict(next(iter(self._completed)))

    def _evict(self, call_id: _CallId) -> None:
        origin, message_id = call_id
        self._retained_bytes -= len(self._completed.pop(call_id).body)
        self._evicted_up_to[origin] = max(
            message_id, self._evicted_up_to.get(origin, 0)
        )

    def _purge(self) -> None:
        now = self._deps.timers.now()
        for call_id, completed in list(self._completed.items()):
            if completed.completed_at > now - ANSWER_RETENTION_S:
                break
            self._evict(call_id)
        for call_id, barred_at in list(self._barred.items()):
            if barred_at > now - BARRED_RETENTION_S:
                break
            del self._barred[call_id]
