"""Refuses fresh requests of a kind whose work is mostly wasted below.

Pattern: adaptive admission share. A request that a deeper service will refuse
is refused at the entry, before any work is spent on it.

- Pressure, which gates tell hop by hop, regulates the share of a kind part of
  whose work is wasted: a proportional-integral controller keeps a short queue
  in front of the service that is short, so that its slots stay busy and calls
  do not fail for waiting. A kind whose work is never wasted is not concerned.
  Of the kinds that are regulated at one node, the less urgent fall first and
  rise last.
- Wasted work lowers the share to the part that succeeded, once for each round
  of outcomes.
- The share then grows gently at first and faster later, so that it stays near
  what can be served, and is back within about three seconds of the cause's
  end whatever it was. What is refused here does not count as failed.
"""

import logging
import math
import random
from collections.abc import Callable
from collections.abc import Iterable

from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)
#: Seconds between two changes of the share; some outcomes fall in each.
WINDOW_S = 0.25
#: Part of finished requests that may fail before the share falls. Single
#: upstreams that fail part of their requests stay below it.
TOLERATED_FAILING = 0.2
#: Seconds after a decrease in which its outcomes are awaited: work that was
#: admitted before takes about that long to succeed or fail.
SETTLE_S = 0.75
#: First increase after a decrease, and its growth from window to window.
FIRST_STEP = 0.01
STEP_GROWTH = 1.3
#: Share from which a kind counts as refused, for more urgent ones to follow.
FLOOR_PROBABILITY = 0.05
#: Seconds for which a kind counts as regulated after it was.
REGULATED_S = 0.6
#: Least share: what is left probes for recovery.
MIN_PROBABILITY = 0.03
#: Part of the outcomes seen that is kept from one window to the next.
KEPT = 0.85
#: Failures beyond the tolerated part that chance explains.
CHANCE_FAILURES = 1.5
#: Weight of a new outcome in the part that is wasted: some fifty count.
WASTE_SMOOTHING = 0.02
#: Part of wasted work from which pressure below concerns a kind; faults of
#: single servers waste about one request in a hundred.
CONCERNED = 0.03
#: Weight of a new report in the pressure.
PRESSURE_SMOOTHING = 0.2
#: Part of the pressure that is kept over a window in which none was told: at
#: a node with few requests what is believed of the service ages by half in 2.4
#: seconds, and the share grows again to find out.
PRESSURE_KEPT = 0.93
#: Pressure that is aimed at: calls wait for a tenth of the slots, so that each
#: slot finds its next call at once and a wait is a tenth of a hold.
TARGET_PRESSURE = 1.1
#: Pressure from which the share is regulated; below, slots are free.
REGULATED_PRESSURE = 0.9
#: Change of the share's logarithm in a window for each unit by which the
#: pressure has risen, and by which it is above its target. A change shows after
#: half a second to a second; twice the integral gain makes the share swing in
#: the simulated loads of the tests.
PROPORTIONAL_GAIN = 0.35
INTEGRAL_GAIN = 0.02
#: Largest fall and rise of the share's logarithm in a window: it halves within
#: three windows at the most, and doubles within seven.
MAX_FALL = 0.5
MAX_RISE = 0.1
#: Seconds without a request after which the past tells nothing.
FORGET_S = 20.0
#: How much likelier a request that has been refused before is admitted: its
#: caller has waited already and does not come a third time.
RETURNING_FACTOR = 3.0


class AdmissionController:
    """Share of the fresh requests of one kind that is admitted."""

    def __init__(
        self,
        now: Callable[[], float],
        name: str = "",
        rank: int = 1,
        others: Callable[[], "Iterable[AdmissionController]"] = tuple,
    ) -> None:
        """Starts with everything admitted.

        Args:
            now: clock.
            name: route and service, for the log.
            rank: urgency of the kind, 0 the highest.
            others: returns the controllers of all kinds at this node.
        """
        self.probability = 1.0
        self.rank = rank
        self._name = name
        self._others = others
        self._regulated_until = 0.0
        self._now = now
        self._window_ends = now() + WINDOW_S
        self._settled_at = 0.0
        self._step = FIRST_STEP
        self._served = 0.0
        self._failed = 0.0
        self._pressure = 0.0
        #: Whether a pressure was told in this window.
        self._told = False
        #: Pressure at the end of the window before.
        self._pressure_before = 0.0
        #: Part of outcomes that failed, over a longer time.
        self._wasted = 0.0

    def refuse(self, returning: bool, rng: random.Random) -> bool:
        """Returns whether a request is refused.

        Args:
            returning: whether it has been refused before.
            rng: decides which requests make up the share.
        """
        self._advance()
        probability = self.probability * (
            RETURNING_FACTOR if returning else 1.0
        )
        return probability < 1.0 and rng.random() >= probability

    def record_outcome(self, served: bool) -> None:
        """Counts a request on which an upstream has worked."""
        self._advance()
        if served:
            self._served += 1.0
        else:
            self._failed += 1.0
        sample = 0.0 if served else 1.0
        self._wasted += (sample - self._wasted) * WASTE_SMOOTHING

    def record_pressure(self, pressure: float) -> None:
        """Takes in the highest pressure on the way of the work."""
        self._pressure += (pressure - self._pressure) * PRESSURE_SMOOTHING
        self._told = True

    def _advance(self) -> None:
        """Changes the share for each window that has ended."""
        now = self._now()
        if now > self._window_ends + FORGET_S:
            self.probability = 1.0
            self._served = self._failed = 0.0
            self._window_ends = now + WINDOW_S
        while now >= self._window_ends:
            self._window_ends += WINDOW_S
            self._end_window()

    def _end_window(self) -> None:
        if not self._told:
            self._pressure *= PRESSURE_KEPT
        self._told = False
        if self._window_ends < self._settled_at:
            return
        outcomes = self._served + self._failed
        if self._failed > TOLERATED_FAILING * outcomes + CHANCE_FAILURES:
            succeeding = self._served / outcomes
            self.probability = max(
                self.probability * succeeding, MIN_PROBABILITY
            )
            self._step = FIRST_STEP
            self._settled_at = self._window_ends + SETTLE_S
            self._log("wasted")
            self._served = self._failed = 0.0
            return
        risen = self._pressure - self._pressure_before
        self._pressure_before = self._pressure
        if self._wasted > CONCERNED and self._pressure > REGULATED_PRESSURE:
            self._regulate(risen)
            return
        if self.probability < 1.0 <= self.probability + self._step:
            self._log("recovered")
        self.probability = min(self.probability + self._step, 1.0)
        self._step *= STEP_GROWTH
        self._served *= KEPT
        self._failed *= KEPT

    def _regulate(self, risen: float) -> None:
        """Moves the share towards the target pressure."""
        above = self._pressure - TARGET_PRESSURE
        change = -(PROPORTIONAL_GAIN * risen + INTEGRAL_GAIN * above)
        self._regulated_until = self._window_ends + REGULATED_S
        if self._must_wait(change < 0.0):
            return
        factor = math.exp(max(min(change, MAX_RISE), -MAX_FALL))
        before = self.probability
        self.probability = min(
            max(self.probability * factor, MIN_PROBABILITY), 1.0
        )
        self._step = FIRST_STEP
        if self.probability < before:
            self._log("pressure")

    @property
    def regulated(self) -> bool:
        """Whether pressure has moved this kind's share lately."""
        return self._now() < self._regulated_until

    def _must_wait(self, falls: bool) -> bool:
        """Returns whether another kind's share has to move first.

        The less urgent fall first and rise last.
        """
        for other in self._others():
            if not other.regulated:
                continue
            if (
                falls
                and other.rank > self.rank
                and other.probability > FLOOR_PROBABILITY
            ):
                return True
            if not falls and other.rank < self.rank and other.probability < 1.0:
                return True
        return False

    def _log(self, reason: str) -> None:
        """Tells why the share changes."""
        telemetry.event(
            _LOGGER,
            "admission.changed",
            reason=reason,
            kind=self._name,
            share=round(self.probability, 3),
            served=round(self._served, 1),
            failed=round(self._failed, 1),
            wasted=round(self._wasted, 3),
            pressure=round(self._pressure, 2),
            rank=self.rank,
        )
