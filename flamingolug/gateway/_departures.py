"""Departures of upstreams that this node has learned of."""

from flamingolug import timing
from flamingolug.gateway import _model

#: Seconds for which a departure is known, in the store and at other nodes: a
#: report that is delayed arrives within this time.
DEPARTURE_TTL_S = 60.0


def is_departed(known: _model.Upstream, upstream: _model.Upstream) -> bool:
    """Returns whether a known state says that an upstream leaves, or left.

    The known state may also belong to a later incarnation.
    """
    if known.id != upstream.id:
        return False
    if known.start_time_ms != upstream.start_time_ms:
        return known.start_time_ms > upstream.start_time_ms
    return known.state is not _model.UpstreamState.READY


class Departures:
    """Departures by upstream, each known for `DEPARTURE_TTL_S`."""

    def __init__(self, timers: timing.Timers) -> None:
        """Creates an instance that knows no departure."""
        self._timers = timers
        #: Each with the clock reading at which it was learned.
        self._departures: dict[str, tuple[_model.Upstream, float]] = {}

    def add(self, departed: _model.Upstream) -> bool:
        """Adds a departure; returns whether it was not known."""
        known = self.find(departed.id)
        if known is not None and is_departed(known, departed):
            return False
        self._departures[departed.id] = (departed, self._timers.now())
        return True

    def renew(self, departed: _model.Upstream) -> None:
        """Adds a departure, or knows it for the full time again."""
        if not self.add(departed):
            known = self._departures[departed.id][0]
            self._departures[departed.id] = (known, self._timers.now())

    def find(self, upstream_id: str) -> _model.Upstream | None:
        """Returns the departure of an upstream, None if none is known."""
        found = self._departures.get(upstream_id)
        if found is None:
            return None
        departed, learned_at = found
        if self._timers.now() - learned_at > DEPARTURE_TTL_S:
            del self._departures[upstream_id]
            return None
        return departed

    def list_all(self) -> list[_model.Upstream]:
        """Returns all departures that are known."""
        found = [self.find(each) for each in list(self._departures)]
        return [each for each in found if each is not None]
