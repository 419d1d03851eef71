"""Adaptive admission control for requests that enter at this node.

Pattern: adaptive admission probability. A request that a service further down
the call chain would refuse is refused at the entry, before any work is spent
on it. A kind of request is one route together with the service that serves it.
A request fails when an upstream has worked on it and it still ends without a
success; that work is wasted.

- Pressure is the ratio of running and waiting calls to the limit. Every gate
  reports the highest pressure among its own upstream and the services that this
  one calls. For kinds with failures, a proportional-integral controller adjusts
  the admission probability to this pressure. It keeps a short queue in front of
  the overloaded service, so that its slots stay busy and calls do not time out
  in the queue. The report names that service, the bottleneck. Of the kinds with
  the same bottleneck, the less urgent decrease first and increase last, whether
  they fail themselves or not: a kind with a long deadline only becomes late in
  a queue in which a more urgent one with a short deadline fails. Pressure does
  not affect kinds while none of this group fails that is as urgent.
- When too many requests fail, the probability is multiplied by the fraction
  that succeeded, at most once in each `SETTLING_TIME_S`. Under pressure this
  applies to the least urgent kind of the group that is still admitted. Without
  pressure, failing work displaces no other, and only a kind of which hardly any
  request succeeds is refused: its callers come back when the trouble may have
  ended. A third of an idempotent kind is admitted even then, since callers may
  repeat what fails.
- The probability then grows slowly at first and faster later. So it stays near
  what can be served and is back at 1 at most about four seconds after failures
  end, or later if a high pressure first has to decay. Requests that are refused
  here do not count as failed.
"""

import logging
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from flamingolug import telemetry
from flamingolug.gateway import _pressure

_LOGGER = logging.getLogger(__name__)
#: Seconds between two changes of the probability. In a large deployment most
#: windows contain no outcome of a kind.
WINDOW_S = 0.25
#: Fraction of finished requests that may fail under pressure before the
#: probability decreases. Those of a single faulty upstream stay below it.
TOLERATED_FAILURE_RATIO = 0.2
#: The same while the called services have free slots, before and after a first
#: decrease. An attempt then displaces nothing, so a request is refused only if
#: its next one, seconds later, is more likely to succeed because the trouble
#: has ended.
FREE_TOLERATED_FAILURE_RATIO = 0.85
FREE_RECOVERY_FAILURE_RATIO = 0.6
#: Seconds without another change after a decrease that failures caused:
#: requests admitted before it take about that long to succeed or fail.
SETTLING_TIME_S = 0.75
#: First increase after a decrease, and the factor by which the increase grows
#: from window to window.
INITIAL_STEP = 0.01
STEP_GROWTH = 1.3
#: Probability at which a kind counts as fully refused, so that more urgent
#: kinds decrease too.
FULLY_REFUSED_PROBABILITY = 0.05
#: Seconds for which a kind still counts as regulated after its last regulation.
REGULATED_FOR_S = 0.6
#: Lower bound of the probability: the requests still admitted probe for
#: recovery.
MIN_PROBABILITY = 0.03
#: Lower bound for idempotent kinds while the called services have free slots:
#: what is admitted then displaces nothing, and what fails may be repeated. The
#: retry budget, which counts earlier requests too, suffices for a third of the
#: usual requests to be tried twice everywhere.
MIN_REPEATABLE_PROBABILITY = 0.33
#: Factor on the counts of outcomes at the end of a window, except in the
#: settling time, while pressure regulates the kind, and after a decrease that
#: failures caused, which sets the counts to zero.
OUTCOME_DECAY = 0.85
#: Failures allowed beyond the tolerated fraction, since chance explains them.
FAILURE_ALLOWANCE = 1.5
#: Lowest weight of a new outcome in the smoothed failure ratio, and the time
#: constant, seconds, of the smoothing where outcomes are rare: in a large
#: deployment a node has one in a second or fewer.
FAILURE_SMOOTHING = 0.02
FAILURE_TIME_CONSTANT_S = 5.0
#: Failure ratio above which a kind is regulated by the pressure of the called
#: services; faults of single servers fail about one request in a hundred.
MIN_FAILURE_RATIO = 0.03
#: Set point of the controller: the calls waiting are a tenth of the slots, so
#: that each free slot gets its next call at once and a call waits for a tenth
#: of the time for which a call holds a slot.
TARGET_PRESSURE = 1.1
#: Pressure above which the probability is regulated; below it, slots are free.
MIN_REGULATED_PRESSURE = 0.9
#: Change of the probability's logarithm in a window for each unit by which the
#: pressure has risen, and for each unit by which it exceeds its target. A
#: change takes effect after half a second to a second; with twice the integral
#: gain the probability oscillates in the simulated loads of the tests.
PROPORTIONAL_GAIN = 0.3
INTEGRAL_GAIN = 0.012
#: Largest decrease and increase of the probability's logarithm in a window: at
#: these rates the probability halves within two windows and doubles within
#: seven.
MAX_DECREASE = 0.5
MAX_INCREASE = 0.1
#: Seconds without a request after which the probability and the counts are
#: reset.
IDLE_RESET_S = 20.0
#: Factor on the probability for a request that its caller retries: the caller
#: has already waited and does not try a third time.
CALLER_RETRY_FACTOR = 3.0


class Kind(NamedTuple):
    """A kind of request."""

    #: Route and service, for the log.
    name: str = ""
    #: Urgency; 0 is the most urgent.
    rank: int = 1
    #: Whether callers may repeat a request that has failed.
    idempotent: bool = False


class AdmissionController:
    """Decides which requests of one kind are admitted at this node."""

    def __init__(
        self,
        now: Callable[[], float],
        service_pressure: _pressure.ServicePressure,
        kind: Kind,
        all_controllers: Callable[[], "Iterable[AdmissionController]"] = tuple,
    ) -> None:
        """Creates a controller that admits every request.

        Args:
            now: returns the clock reading in seconds.
            service_pressure: pressure of the service of the kind, which other
                kinds may share.
            kind: the kind of request.
            all_controllers: returns the controllers of all kinds at this
                node, including this one.
        """
        self.probability = 1.0
        self.rank = kind.rank
        self._idempotent = kind.idempotent
        self._name = kind.name
        self._all_controllers = all_controllers
        self._regulated_until = 0.0
        self._now = now
        #: When a request of the kind came last.
        self._requested_at = now()
        self._settled_after = 0.0
        self._step = INITIAL_STEP
        self._success_count = 0.0
        self._failure_count = 0.0
        self._service_pressure = service_pressure
        #: Pressure at the end of the previous window.
        self._previous_pressure = 0.0
        #: Decrease of the probability's logarithm beyond `MAX_DECREASE` that is
        #: left for the next window.
        self._deferred_decrease = 0.0
        self._outcome_recorded_at = now()
        #: Smoothed fraction of outcomes that failed.
        self._failure_ratio = 0.0

    def refuse(self, retried_by_caller: bool, rng: random.Random) -> bool:
        """Returns whether a request is refused.

        Args:
            retried_by_caller: whether the request appears to be a retry by its
                caller.
            rng: source of the random decision.
        """
        self._requested_at = self._now()
        probability = self.probability * (
            CALLER_RETRY_FACTOR if retried_by_caller else 1.0
        )
        return probability < 1.0 and rng.random() >= probability

    def record_outcome(self, succeeded: bool) -> None:
        """Counts a finished request that reached an upstream.

        Args:
            succeeded: whether it ended with a response below 500.
        """
        if succeeded:
            self._success_count += 1.0
        else:
            self._failure_count += 1.0
        sample = 0.0 if succeeded else 1.0
        now = self._now()
        weight = _pressure.weight_after(
            now - self._outcome_recorded_at, FAILURE_TIME_CONSTANT_S
        )
        self._outcome_recorded_at = now
        self._failure_ratio += (sample - self._failure_ratio) * max(
            weight, FAILURE_SMOOTHING
        )

    def end_window(self) -> None:
        """Ends a window of `WINDOW_S` and adjusts the probability."""
        now = self._now()
        if now - self._requested_at > IDLE_RESET_S:
            self.probability = 1.0
            self._success_count = self._failure_count = 0.0
        if now < self._settled_after:
            return
        outcomes = self._success_count + self._failure_count
        if (
            self._failure_count
            > self._tolerated_ratio() * outcomes + FAILURE_ALLOWANCE
        ):
            success_ratio = self._success_count / outcomes
            self._settled_after = now + SETTLING_TIME_S
            self._find_least_urgent().multiply(success_ratio, self._name)
            self._success_count = self._failure_count = 0.0
            return
        pressure_rise = self._pressure - self._previous_pressure
        self._previous_pressure = self._pressure
        if self._pressed and (self.regulated or self._protects_failing_kind()):
            # A regulated kind stays so when failures end: they ended because
            # of the regulation.
            self._regulate(pressure_rise)
            return
        if self.probability < 1.0 <= self.probability + self._step:
            self._log("recovered")
        self.probability = min(self.probability + self._step, 1.0)
        self._step *= STEP_GROWTH
        self._success_count *= OUTCOME_DECAY
        self._failure_count *= OUTCOME_DECAY

    def _tolerated_ratio(self) -> float:
        """Returns the fraction of outcomes that may fail."""
        if self._pressed:
            return TOLERATED_FAILURE_RATIO
        if self.probability < 1.0:
            return FREE_RECOVERY_FAILURE_RATIO
        return FREE_TOLERATED_FAILURE_RATIO

    def multiply(self, factor: float, cause: str) -> None:
        """Decreases the probability since requests fail.

        Args:
            factor: factor on the probability.
            cause: kind whose requests fail.
        """
        lowest = MIN_PROBABILITY
        if self._idempotent and not self._pressed:
            lowest = min(MIN_REPEATABLE_PROBABILITY, self.probability)
        self.probability = max(self.probability * factor, lowest)
        self._step = INITIAL_STEP
        self._settled_after = max(
            self._settled_after, self._now() + SETTLING_TIME_S
        )
        self._log("wasted", cause)

    @property
    def _pressure(self) -> float:
        """Highest pressure in the call chains of the service."""
        return self._service_pressure.ratio

    @property
    def _bottleneck(self) -> str:
        """Service with that pressure, empty for none so far."""
        return self._service_pressure.bottleneck

    @property
    def _pressed(self) -> bool:
        """Whether a called service has about as many calls as slots."""
        return self._pressure > MIN_REGULATED_PRESSURE

    def _group(self) -> "Iterable[AdmissionController]":
        """Returns this kind and the others under pressure of its bottleneck."""
        yield self
        for other in self._all_controllers():
            if other is self or not other._pressed:
                continue
            if other._bottleneck == self._bottleneck:
                yield other

    def _protects_failing_kind(self) -> bool:
        """Returns whether this kind, or one as urgent in its group, fails.

        The bottleneck reports whether calls of any kind expire there, since a
        node of a large fleet rarely sees one fail.
        """
        if self._service_pressure.expired_ratio > MIN_FAILURE_RATIO:
            return True
        return any(
            each.rank <= self.rank and each._failure_ratio > MIN_FAILURE_RATIO
            for each in self._group()
        )

    def _find_least_urgent(self) -> "AdmissionController":
        """Returns the kind to decrease when requests of this one fail.

        Without pressure the cause is not a shared queue, and it is this kind.
        """
        chosen = self
        if not self._pressed:
            return chosen
        for other in self._group():
            if other.probability <= FULLY_REFUSED_PROBABILITY:
                continue
            if other.rank > chosen.rank:
                chosen = other
        return chosen

    def _regulate(self, pressure_rise: float) -> None:
        """Adjusts the probability towards the target pressure."""
        excess = self._pressure - TARGET_PRESSURE
        gain = INTEGRAL_GAIN * (1.0 + max(excess, 0.0))
        change = -(PROPORTIONAL_GAIN * pressure_rise + gain * excess)
        change -= self._deferred_decrease
        self._deferred_decrease = 0.0
        self._regulated_until = self._now() + REGULATED_FOR_S
        if self._must_yield(change < 0.0):
            return
        # A rise of the pressure acts in full, if necessary in two windows.
        self._deferred_decrease = max(-MAX_DECREASE - change, 0.0)
        factor = math.exp(max(min(change, MAX_INCREASE), -MAX_DECREASE))
        previous = self.probability
        self.probability = min(
            max(self.probability * factor, MIN_PROBABILITY), 1.0
        )
        self._step = INITIAL_STEP
        if self.probability < previous:
            self._log("pressure")

    @property
    def regulated(self) -> bool:
        """Whether pressure has regulated this kind recently."""
        return self._now() < self._regulated_until

    def _must_yield(self, decreasing: bool) -> bool:
        """Returns whether another kind's probability has to change first.

        Less urgent kinds decrease first and increase last.
        """
        for other in self._group():
            if not other.regulated:
                continue
            if (
                decreasing
                and other.rank > self.rank
                and other.probability > FULLY_REFUSED_PROBABILITY
            ):
                return True
            if (
                not decreasing
                and other.rank < self.rank
                and other.probability < 1.0
            ):
                return True
        return False

    def _log(self, reason: str, cause: str = "") -> None:
        """Logs a change of the probability and its reason.

        Args:
            reason: the reason.
            cause: kind whose requests fail; empty for this one.
        """
        telemetry.event(
            _LOGGER,
            "admission.changed",
            reason=reason,
            kind=self._name,
            share=round(self.probability, 3),
            served=round(self._success_count, 1),
            failed=round(self._failure_count, 1),
            wasted=round(self._failure_ratio, 3),
            pressure=round(self._pressure, 2),
            bottleneck=self._bottleneck,
            expired=round(self._service_pressure.expired_ratio, 3),
            cause=cause or self._name,
            rank=self.rank,
        )


def end_windows(controllers: Iterable[AdmissionController]) -> None:
    """Ends the window of all kinds of a node, the least urgent first.

    So a kind decides with what less urgent ones have just decided, also where
    a node gets a request of a kind only each few seconds.
    """
    for each in sorted(controllers, key=lambda each: -each.rank):
        each.end_window()
