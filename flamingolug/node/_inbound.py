"""Calls that arrive from peers: run, answered, cancelled, settled."""

from typing import NamedTuple

import gevent

from flamingolug import calls
from flamingolug import membership
from flamingolug import peers
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _upstream
from flamingolug.node import _wire

#: Seconds that an answer is kept for a caller whose link was lost.
KEEP_ANSWER_S = 4.0
#: Seconds that a barred call stays barred; longer than any deadline.
KEEP_BARRED_S = 300.0
PURGE_INTERVAL_S = 1.0
BEAT_INTERVAL_S = 0.1
#: Seconds between two beats that show a pause of the process.
PAUSE_S = 0.5
#: Seconds after a pause in which keyed calls are sent back.
DISTRUST_S = 0.3
#: Bytes of answers kept at most.
MAX_KEPT_BYTES = 16_777_216
BARRED = "flamingolug.peer.calls.barred"
UNDELIVERED = "flamingolug.peer.answers.undelivered"

_Key = tuple[int, int]


class _Running:
    """A call in progress; `route` changes when its link is replaced."""

    def __init__(self, route: bytes) -> None:
        self.route = route
        self.task: gevent.Greenlet[..., None] | None = None


class _Done(NamedTuple):
    message: peers.AnswerMessage
    body: bytes
    at: float


class Dependencies(NamedTuple):
    """What the call server works with."""

    endpoint: peers.Endpoint
    upstream: _upstream.Upstream
    members: membership.Membership
    loads: membership.PeerLoads
    wire: _wire.Wire
    timers: timing.Timers
    counters: telemetry.Counters
    incarnation: int


class InboundCalls:
    """Serves the calls of peers on the upstream beside this node."""

    def __init__(self, deps: Dependencies) -> None:
        """Connects the handlers."""
        deps.counters.declare(BARRED, "Calls dropped because barred")
        deps.counters.declare(
            UNDELIVERED, "Answers whose peer connection was gone"
        )
        self._deps = deps
        self._running: dict[_Key, _Running] = {}
        self._done: dict[_Key, _Done] = {}
        self._kept_bytes = 0
        self._barred: dict[_Key, float] = {}
        self._beat_at = deps.timers.now()
        self._distrust_until = float("-inf")
        # Highest number, by sender, of a call whose answer was dropped.
        self._forgotten: dict[int, int] = {}
        endpoint = deps.endpoint
        endpoint.on(peers.MessageType.CALL, self._on_call)
        endpoint.on(peers.MessageType.CANCEL, self._on_cancel)
        endpoint.on(peers.MessageType.SETTLE, self._on_settle)
        endpoint.on(peers.MessageType.PING, self._on_ping)
        endpoint.on(peers.MessageType.OUTCOME, self._on_outcome)

    def start(self) -> None:
        """Begins to forget old answers."""
        self._deps.timers.every(PURGE_INTERVAL_S, self._purge)
        self._deps.timers.every(BEAT_INTERVAL_S, self._beat)

    def is_busy(self) -> bool:
        """Returns whether calls of peers are in progress."""
        return bool(self._running)

    def _on_call(self, inbound: peers.InboundMessage) -> None:
        message: peers.CallMessage = inbound.message
        key = (message["org"], message["id"])
        if key in self._barred:
            self._deps.counters.add(BARRED)
            return
        if key in self._running or key in self._done:
            return
        running = _Running(inbound.route)
        self._running[key] = running
        running.task = gevent.spawn(
            self._serve, key, running, message, inbound.body
        )
        # A task that is cancelled before its first step runs nothing.
        running.task.link(lambda task: self._running.pop(key, None))

    def _serve(
        self,
        key: _Key,
        running: _Running,
        message: peers.CallMessage,
        body: bytes,
    ) -> None:
        try:
            outcome = self._outcome(message, body)
        except gevent.GreenletExit:
            outcome = calls.unknown(
                "cancelled", "inbound", "", message["share"]
            )
        except Exception as exc:
            outcome = calls.unknown(repr(exc), "inbound", "", message["share"])
        self._running.pop(key, None)
        answer = self._deps.wire.answer(
            message["id"], outcome, self._deps.loads.own_report()
        )
        self._keep(key, _Done(answer, outcome.body, self._deps.timers.now()))
        self._send(running.route, answer, outcome.body)

    def _outcome(
        self, message: peers.CallMessage, body: bytes
    ) -> calls.Outcome:
        own = self._deps.members.table.own.name
        if message["to"] != self._deps.incarnation or (
            self._may_be_stale(message)
        ):
            incarnation_id = self._deps.members.table.own.incarnation_id()
            return calls.not_run(
                telemetry.Refusal.NO_RIGHT, "inbound", incarnation_id
            )
        call = self._deps.wire.call(message, body)
        if call is None:
            return calls.not_run(telemetry.Refusal.UNKNOWN_KIND, "inbound", own)
        return self._deps.upstream.serve(call)

    def _beat(self) -> None:
        """Notices that this process was paused."""
        now = self._deps.timers.now()
        if now - self._beat_at > PAUSE_S:
            self._distrust_until = now + DISTRUST_S
        self._beat_at = now

    def _may_be_stale(self, message: peers.CallMessage) -> bool:
        """Returns whether a keyed call may have lain here during a pause.

        A call carries its time left, which does not age in a socket. A later
        try of its key may have been told by now that it did not run.
        """
        if not message["key"]:
            return False
        now = self._deps.timers.now()
        return now - self._beat_at > PAUSE_S or now < self._distrust_until

    def _on_cancel(self, inbound: peers.InboundMessage) -> None:
        message: peers.CancelMessage = inbound.message
        running = self._running.get((message["org"], message["id"]))
        if running is not None and running.task is not None:
            running.task.kill(block=False)

    def _on_settle(self, inbound: peers.InboundMessage) -> None:
        """Tells what became of a call, and bars one that never came."""
        message: peers.SettleMessage = inbound.message
        key = (message["org"], message["id"])
        done = self._done.get(key)
        if done is not None:
            self._send(inbound.route, done.message, done.body)
            return
        running = self._running.get(key)
        if message["to"] != self._deps.incarnation:
            state = "foreign"
        elif running is not None:
            running.route = inbound.route
            state = "running"
        elif message["id"] <= self._forgotten.get(message["org"], 0):
            # It may be one that ran and whose answer is no longer kept.
            state = "foreign"
        else:
            self._barred[key] = self._deps.timers.now()
            state = "barred"
        self._deps.endpoint.reply(
            inbound.route,
            peers.MessageType.SETTLED,
            {"id": message["id"], "state": state},
        )

    def _on_outcome(self, inbound: peers.InboundMessage) -> None:
        message: peers.OutcomeMessage = inbound.message
        outcome = self._deps.upstream.ask_outcome(message["key"])
        answer = self._deps.wire.answer(
            message["id"], outcome, self._deps.loads.own_report()
        )
        self._send(inbound.route, answer, outcome.body)

    def _on_ping(self, inbound: peers.InboundMessage) -> None:
        pong = self._deps.members.make_pong(inbound.message)
        self._deps.endpoint.reply(inbound.route, peers.MessageType.PONG, pong)

    def _send(
        self, route: bytes, answer: peers.AnswerMessage, body: bytes
    ) -> None:
        sent = self._deps.endpoint.reply(
            route, peers.MessageType.ANSWER, answer, body
        )
        if not sent:
            self._deps.counters.add(UNDELIVERED)

    def _keep(self, key: _Key, done: _Done) -> None:
        """Keeps an answer for a while, within the byte bound."""
        self._done[key] = done
        self._kept_bytes += len(done.body)
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._drop(next(iter(self._done)))

    def _drop(self, key: _Key) -> None:
        origin, number = key
        self._kept_bytes -= len(self._done.pop(key).body)
        self._forgotten[origin] = max(number, self._forgotten.get(origin, 0))

    def _purge(self) -> None:
        now = self._deps.timers.now()
        for key, done in list(self._done.items()):
            if done.at > now - KEEP_ANSWER_S:
                break
            self._drop(key)
        for key, at in list(self._barred.items()):
            if at > now - KEEP_BARRED_S:
                break
            del self._barred[key]
