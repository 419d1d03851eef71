"""Encodes calls and outcomes as messages between nodes, and decodes them."""

from collections.abc import Callable

from flamingolug import calls
from flamingolug import configuration
from flamingolug import manifest
from flamingolug import peers


class MessageCodec:
    """Converts calls and outcomes to and from messages."""

    def __init__(
        self,
        incarnation: int,
        next_id: Callable[[], int],
        now: Callable[[], float],
        manifest_watcher: configuration.ManifestWatcher,
    ) -> None:
        """Creates the codec of one node.

        Args:
            incarnation: incarnation of this node, the origin of its calls.
            next_id: returns a new message id.
            now: monotonic clock.
            manifest_watcher: source of the active manifest.
        """
        self._incarnation = incarnation
        self.next_id = next_id
        self._now = now
        self._manifest_watcher = manifest_watcher

    def encode_call(self, call: calls.Call, to: int) -> peers.CallMessage:
        """Returns the message for a call to the node with incarnation `to`."""
        active = self._manifest_watcher.active
        return {
            "id": self.next_id(),
            "org": self._incarnation,
            "to": to,
            "root": call.root_id,
            "rkind": call.root_kind,
            "kind": call.kind,
            "depth": call.depth,
            "spread": call.tie_break,
            "method": call.method,
            "path": call.target,
            "headers": list(call.headers),
            "key": call.key,
            "born": call.key_created_at,
            "caller": call.caller,
            "left": (call.deadline - self._now()) * 1000.0,
            "share": call.allowance,
            "rev": active.revision if active else 0,
        }

    def decode_call(
        self, message: peers.CallMessage, body: bytes
    ) -> calls.Call | None:
        """Returns the call in a message.

        Returns:
            None when there is no active manifest or the kind is unknown.
        """
        active = self._manifest_watcher.active
        if active is None:
            return None
        kind = active.manifest.kinds.get(message["kind"])
        if kind is None:
            return None
        return calls.Call(
            root_id=message["root"],
            root_kind=message["rkind"],
            kind=kind.name,
            service=kind.service,
            depth=message["depth"],
            level=level_of(
                active, message["rkind"], message["depth"], message["spread"]
            ),
            tie_break=message["spread"],
            method=message["method"],
            target=message["path"],
            headers=tuple((name, value) for name, value in message["headers"]),
            body=body,
            key=message["key"],
            key_created_at=message["born"],
            caller=message["caller"],
            deadline=self._now() + message["left"] / 1000.0,
            allowance=message["share"],
            non_idempotent=kind.non_idempotent,
        )

    def encode_outcome(
        self, call_id: int, outcome: calls.Outcome, report: peers.LoadReport
    ) -> peers.AnswerMessage:
        """Returns the message for the outcome of call `call_id`."""
        return {
            "id": call_id,
            "verdict": str(outcome.verdict),
            "reason": outcome.reason,
            "step": outcome.step,
            "peer": outcome.peer,
            "status": outcome.status,
            "headers": list(outcome.headers),
            "used": outcome.attempts,
            "load": report,
        }

    def decode_outcome(
        self, message: peers.AnswerMessage, body: bytes
    ) -> calls.Outcome:
        """Returns the outcome in a message."""
        return calls.Outcome(
            verdict=calls.Verdict(message["verdict"]),
            attempts=message["used"],
            status=message["status"],
            headers=tuple((name, value) for name, value in message["headers"]),
            body=body,
            reason=message["reason"],
            step=message["step"],
            peer=message["peer"],
        )


def level_of(
    active: configuration.ActiveManifest,
    root_kind: str,
    depth: int,
    tie_break: int,
) -> int:
    """Returns the shedding level of a call.

    A root kind that is not in the active manifest gets the least important
    levels. This happens while a new manifest is being distributed.
    """
    if root_kind not in active.shedding_order.root_starts:
        return (
            active.shedding_order.level_count
            - manifest.TIE_BREAK_STEPS
            + tie_break
        )
    return active.shedding_order.level(root_kind, depth > 0, tie_break)
