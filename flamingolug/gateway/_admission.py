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
  pressure, failing work displaces no other, so a third of an idempotent kind is
  always admitted: its callers may repeat what fails. A non-idempotent kind is
  refused further, since only a refused request may come back.
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

from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)
#: Seconds between two changes of the probability; each such window contains
#: several outcomes.
WINDOW_S = 0.25
#: Fraction of finished requests that may fail before the probability
#: decreases. The failures of a single faulty upstream stay below it.
TOLERATED_FAILURE_RATIO = 0.2
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
#: Time constant of the smoothed pressure, seconds.
PRESSURE_TIME_CONSTANT_S = 0.15
#: Factor by which the pressure decays over a window without a report. At a node
#: with few requests the pressure halves in 2.4 seconds, and the probability
#: grows again, so that new requests measure it.
PRESSURE_DECAY = 0.93
#: Set point of the controller: the calls waiting are a tenth of the slots, so
#: that each free slot gets its next call at once and a call waits for a tenth
#: of the time for which a call holds a slot.
TARGET_PRESSURE = 1.1
#: Pressure above which the probability is regulated; below it, slots are free.
MIN_REGULATED_PRESSURE = 0.9
#: Pressure above which failures are attributed to the queue, so that the
#: controller reacts to the pressure alone.
QUEUEING_PRESSURE = 1.5
#: Change of the probability's logarithm in a window for each unit by which the
#: pressure has risen, and for each unit by which it exceeds its target. A
#: change takes effect after half a second to a second; with twice the integral
#: gain the probability oscillates in the simulated loads of the tests.
PROPORTIONAL_GAIN = 0.35
INTEGRAL_GAIN = 0.02
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


class AdmissionController:
    """Decides which requests of one kind are admitted at this node."""

    def __init__(
        self,
        now: Callable[[], float],
        name: str = "",
        rank: int = 1,
        all_controllers: Callable[[], "Iterable[AdmissionController]"] = tuple,
        idempotent: bool = False,
    ) -> None:
        """Creates a controller that admits every request.

        Args:
            now: returns the clock reading in seconds.
            name: route and service, for the log.
            rank: urgency of the kind; 0 is the most urgent.
            all_controllers: returns the controllers of all kinds at this
                node, including this one.
            idempotent: whether callers may repeat a request that has failed.
        """
        self._idempotent = idempotent
        self.probability = 1.0
        self.rank = rank
        self._name = name
        self._all_controllers = all_controllers
        self._regulated_until = 0.0
        self._now = now
        self._window_ends = now() + WINDOW_S
        self._settled_after = 0.0
        self._step = INITIAL_STEP
        self._success_count = 0.0
        self._failure_count = 0.0
        self._pressure = 0.0
        #: Service with that pressure, empty for none so far.
        self._bottleneck = ""
        #: Whether a pressure was reported in this window.
        self._pressure_reported = False
        #: Pressure at the end of the previous window.
        self._previous_pressure = 0.0
        self._pressure_recorded_at = self._outcome_recorded_at = now()
        #: Smoothed fraction of outcomes that failed.
        self._failure_ratio = 0.0

    def refuse(self, retried_by_caller: bool, rng: random.Random) -> bool:
        """Returns whether a request is refused.

        Args:
            retried_by_caller: whether the request appears to be a retry by its
                caller.
            rng: source of the random decision.
        """
        self._advance()
        probability = self.probability * (
            CALLER_RETRY_FACTOR if retried_by_caller else 1.0
        )
        return probability < 1.0 and rng.random() >= probability

    def record_outcome(self, succeeded: bool) -> None:
        """Counts a finished request that reached an upstream.

        Args:
            succeeded: whether it ended with a response below 500.
        """
        self._advance()
        if succeeded:
            self._success_count += 1.0
        else:
            self._failure_count += 1.0
        sample = 0.0 if succeeded else 1.0
        now = self._now()
        weight = _weight_after(
            now - self._outcome_recorded_at, FAILURE_TIME_CONSTANT_S
        )
        self._outcome_recorded_at = now
        self._failure_ratio += (sample - self._failure_ratio) * max(
            weight, FAILURE_SMOOTHING
        )

    def record_pressure(self, pressure: float, bottleneck: str = "") -> None:
        """Records the highest pressure in the call chain of a request.

        Args:
            pressure: the pressure.
            bottleneck: service that has it, empty if the pressure is low.
        """
        if bottleneck:
            self._bottleneck = bottleneck
        now = self._now()
        weight = _weight_after(
            now - self._pressure_recorded_at, PRESSURE_TIME_CONSTANT_S
        )
        self._pressure_recorded_at = now
        self._pressure += (pressure - self._pressure) * weight
        self._pressure_reported = True

    def _advance(self) -> None:
        """Ends the windows that are over and adjusts the probability."""
        now = self._now()
        if now > self._window_ends + IDLE_RESET_S:
            self.probability = 1.0
            self._success_count = self._failure_count = 0.0
            self._window_ends = now + WINDOW_S
        while now >= self._window_ends:
            self._window_ends += WINDOW_S
            self._end_window()

    def _end_window(self) -> None:
        if not self._pressure_reported:
            self._pressure *= PRESSURE_DECAY
        self._pressure_reported = False
        if self._window_ends < self._settled_after:
            return
        outcomes = self._success_count + self._failure_count
        if (
            self._failure_count
            > TOLERATED_FAILURE_RATIO * outcomes + FAILURE_ALLOWANCE
            and self._pressure < QUEUEING_PRESSURE
        ):
            success_ratio = self._success_count / outcomes
            self._settled_after = self._window_ends + SETTLING_TIME_S
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
        """Returns whether this kind, or one as urgent in its group, fails."""
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
        self._regulated_until = self._window_ends + REGULATED_FOR_S
        if self._must_yield(change < 0.0):
            return
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
            cause=cause or self._name,
            rank=self.rank,
        )


def _weight_after(elapsed_s: float, time_constant_s: float) -> float:
    """Returns the weight of a sample after a time without samples."""
    return 1.0 - math.exp(-elapsed_s / time_constant_s)
