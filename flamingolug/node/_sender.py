"""Sends one attempt of a call to the node of an upstream."""

from typing import NamedTuple

from flamingolug import calls
from flamingolug import errors
from flamingolug import membership
from flamingolug import peers
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _message_codec
from flamingolug.node import _outlier_detector
from flamingolug.node import _upstream

#: Seconds added to the remaining time of a call when waiting for its answer,
#: for the transmission of the answer.
ANSWER_GRACE_S = 0.05


class Dependencies(NamedTuple):
    """Dependencies of `Sender`."""

    cfg: settings.Settings
    members: membership.Membership
    loads: membership.PeerLoads
    links: peers.Links
    upstream: _upstream.LocalUpstream
    outlier_detector: _outlier_detector.OutlierDetector
    timers: timing.Timers
    codec: _message_codec.MessageCodec


class Sender:
    """Sends attempts and records the load and health of each upstream."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without outstanding attempts."""
        self._deps = deps
        self._outstanding: dict[str, int] = {}

    def outstanding(self, name: str) -> int:
        """Returns the number of attempts sent to a peer without an outcome."""
        return self._outstanding.get(name, 0)

    def send(
        self, member: membership.Member, call: calls.Call
    ) -> calls.Outcome:
        """Sends one attempt.

        Returns:
            Its outcome. `attempts` includes all attempts that may have been
            used; it is at least 1 unless the send was misrouted, see
            `is_misrouted`.
        """
        if member.name == self._deps.cfg.name:
            return _count_attempt(self._deps.upstream.serve(call))
        name = member.name
        self._outstanding[name] = self.outstanding(name) + 1
        try:
            return _count_attempt(self._send_to_peer(member, call))
        finally:
            self._outstanding[name] -= 1

    def _send_to_peer(
        self, member: membership.Member, call: calls.Call
    ) -> calls.Outcome:
        remaining_s = call.deadline - self._deps.timers.now()
        if remaining_s <= 0.0:
            return calls.not_run(telemetry.Refusal.DEADLINE, "route")
        message = self._deps.codec.encode_call(call, member.incarnation)
        try:
            answer = self._deps.links.link_to(member.peer).request(
                peers.MessageType.CALL,
                message,
                call.body,
                remaining_s + ANSWER_GRACE_S,
            )
        except errors.PeerUnreachableError as exc:
            self._record_failure(member.name)
            return calls.not_run(
                telemetry.Refusal.UNREACHABLE, exc.step, member.name
            )
        except errors.PeerLostError as exc:
            self._record_failure(member.name)
            return calls.unknown(
                exc.message, exc.step, member.name, call.allowance
            )
        self._deps.outlier_detector.record(member.name, True)
        load = answer.message.get("load")
        if load is not None:
            self._deps.loads.record(load)
        return self._deps.codec.decode_outcome(answer.message, answer.body)

    def _record_failure(self, name: str) -> None:
        self._deps.members.probe_member(name)
        self._deps.outlier_detector.record(name, False)


def is_misrouted(outcome: calls.Outcome) -> bool:
    """Returns whether the node declined the call without deciding on it.

    The node does not own the key, has restarted since the call was addressed to
    it, or was paused. A misrouted send does not count as an attempt.
    """
    return outcome.reason == telemetry.Refusal.NO_RIGHT


def _count_attempt(outcome: calls.Outcome) -> calls.Outcome:
    """Counts a send as at least one attempt, even if it was refused."""
    if is_misrouted(outcome):
        return outcome
    return outcome._replace(attempts=max(outcome.attempts, 1))
