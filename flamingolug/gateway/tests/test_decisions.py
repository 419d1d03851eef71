"""Slots, choice of upstream, retry budgets, admission and nested routes."""

import random
import unittest
from typing import NamedTuple

from flamingolug.gateway import _admission
from flamingolug.gateway import _balance
from flamingolug.gateway import _budget
from flamingolug.gateway import _call_origins
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure
from flamingolug.gateway import _slots


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def now(self) -> float:
        return self.time_s


def make_call(
    rank: int = 1,
    remaining_s: float = 2.0,
    wait_s: float = 1.0,
    time_s: float = 100.0,
) -> _model.Call:
    """Returns a call that is made at `time_s`."""
    return _model.Call(
        request_id="r",
        upstream_id="u",
        origin_service="front",
        method=b"GET",
        target=b"/",
        headers=[],
        body=b"",
        deadline=time_s + remaining_s,
        wait_until=time_s + wait_s,
        rank=rank,
        idempotent=True,
        route="r1",
    )


class SlotsTest(unittest.TestCase):
    """Bounded priority queue with deadlines."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.slots = _slots.Slots(2, self.clock.now)
        self.slots.usual_hold_s = 0.1
        self.order: list[str] = []

    def offer(
        self, name: str, nested: bool = False, **call: float
    ) -> _slots.Ticket:
        created = make_call(
            rank=int(call.get("rank", 1)),
            remaining_s=call.get("remaining_s", 2.0),
            wait_s=call.get("wait_s", 1.0),
            time_s=self.clock.time_s,
        )
        ticket = _slots.Ticket(created, nested)

        def on_decision(granted: bool) -> None:
            self.order.append(name if granted else f"-{name}")

        ticket.on_decision = on_decision
        result = self.slots.try_start(ticket)
        if result is not None:
            self.order.append(name if result else f"-{name}")
        return ticket

    def test_waiting_calls_start_by_rank_and_nested_first_within_a_rank(
        self,
    ) -> None:
        running = [self.offer("a"), self.offer("b")]
        self.offer("less-urgent", rank=2)
        self.offer("not-nested", rank=1)
        self.offer("nested", nested=True, rank=1)
        self.offer("urgent", rank=0)
        for ticket in running:
            self.slots.release(ticket, False)
        self.assertEqual(self.order, ["a", "b", "urgent", "nested"])

    def test_call_that_cannot_finish_in_time_is_refused_at_once(self) -> None:
        cases: dict[str, dict[str, float]] = {
            "deadline within half the mean hold time": {"remaining_s": 0.04},
            "wait longer than allowed": {"wait_s": 0.01},
        }
        self.offer("a")
        self.offer("b")
        for name, call in cases.items():
            with self.subTest(name):
                self.offer("x", False, **call)
                self.assertEqual(self.order[-1], "-x")

    def test_expired_wait_ends_in_a_refusal(self) -> None:
        self.offer("a")
        self.offer("b")
        self.offer("w", wait_s=0.3)
        self.clock.time_s += 0.31
        self.slots.refuse_expired()
        self.assertEqual(self.order[-1], "-w")
        self.assertEqual(sum(self.slots.waiting_by_rank), 0)

    def test_cancelled_waiting_call_never_starts(self) -> None:
        running = self.offer("a")
        self.offer("b")
        waiting = self.offer("w")
        self.slots.cancel(waiting)
        self.slots.release(running, False)
        self.assertNotIn("w", self.order)

    def test_running_calls_never_exceed_the_limit(self) -> None:
        rng = random.Random(7)
        running: list[_slots.Ticket] = []
        tickets: list[_slots.Ticket] = []
        for step in range(2000):
            self.clock.time_s += 0.01
            if rng.random() < 0.6:
                tickets.append(self.offer(str(step), rank=rng.randrange(4)))
            running = [each for each in tickets if each.running]
            if running and rng.random() < 0.5:
                self.slots.release(rng.choice(running), True)
            self.slots.refuse_expired()
            self.assertLessEqual(self.slots.running, self.slots.limit)
            count = sum(1 for each in tickets if each.waiting)
            self.assertEqual(sum(self.slots.waiting_by_rank), count)


class BalanceCase(NamedTuple):
    """Loads of an upstream in the own zone and of one in another zone."""

    own: dict[str, float]
    other: dict[str, float]
    expected: str

    @property
    def mean_hold_s(self) -> float:
        """Mean hold time of the two."""
        return (
            self.own.get("hold_s", 0.1) + self.other.get("hold_s", 0.1)
        ) / 2.0


def make_candidate(name: str, own: bool, **load: float) -> _balance.Candidate:
    """Returns a candidate with the load given."""
    upstream = _model.Upstream(
        name, "s", "z", "h", 1, 10, _model.UpstreamState.READY, 0, 0
    )
    report = _model.LoadReport(
        int(load.get("running", 0)),
        10,
        (0, 0, 0, 0),
        load.get("hold_s", 0.1),
        load.get("failure_ratio", 0.0),
    )
    return _balance.Candidate(
        upstream, own, int(load.get("running", 0)), report, 0.0, 0, 0.0, False
    )


class BalanceTest(unittest.TestCase):
    """Locality-aware least expected latency."""

    def test_other_zone_is_chosen_only_when_the_own_is_full_slow_or_failing(
        self,
    ) -> None:
        cases = {
            "own zone though the other is faster": BalanceCase(
                {"hold_s": 0.15}, {"hold_s": 0.05}, "own"
            ),
            "the other zone once the own is full": BalanceCase(
                {"running": 12}, {"running": 2}, "other"
            ),
            "the other zone when the own is too slow": BalanceCase(
                {"hold_s": 0.8}, {"hold_s": 0.05}, "other"
            ),
            "the other zone when the own fails": BalanceCase(
                {"failure_ratio": 0.6}, {}, "other"
            ),
        }
        for name, case in cases.items():
            with self.subTest(name):
                own = make_candidate("own", True, **case.own)
                other = make_candidate("other", False, **case.other)
                chosen = _balance.choose(
                    [own],
                    lambda other=other: [other],  # type: ignore[misc]
                    _balance.CallProfile(1, 0.5, 0.2),
                    case.mean_hold_s,
                    random.Random(1),
                )
                assert chosen is not None
                self.assertEqual(chosen.id, case.expected)

    def test_time_out_shorter_than_the_target_replaces_it(self) -> None:
        route = _model.Route(
            "r", "h", "/", (("s", 1.0),), False, 1.2, 4.0, 2, 2
        )
        chosen = _balance.choose(
            [make_candidate("own", True, hold_s=0.7)],
            lambda: [make_candidate("other", False, hold_s=0.3)],
            _balance.make_profile(route, 0.8),
            0.5,
            random.Random(1),
        )
        assert chosen is not None
        self.assertEqual(chosen.id, "other")

    def test_idle_upstream_without_load_report_is_preferred_to_a_loaded_one(
        self,
    ) -> None:
        reported = make_candidate("reported", True, running=3, hold_s=0.05)
        unreported = reported._replace(
            upstream=reported.upstream._replace(id="unreported"),
            outstanding=0,
            load=None,
        )
        chosen = _balance.choose(
            [reported, unreported],
            list,
            _balance.CallProfile(1, 0.5, 0.05),
            0.05,
            random.Random(1),
        )
        assert chosen is not None
        self.assertEqual(chosen.id, "unreported")

    def test_other_zones_are_examined_only_when_they_can_be_cheaper(
        self,
    ) -> None:
        cases: dict[str, tuple[dict[str, float], bool]] = {
            "idle": ({"running": 0}, False),
            "half full": ({"running": 5}, False),
            "full": ({"running": 12}, True),
            "too slow": ({"hold_s": 0.8}, True),
        }
        for name, (load, expected) in cases.items():
            with self.subTest(name):
                requested: list[bool] = []

                def find_in_other_zones(
                    requested: list[bool] = requested,
                ) -> list[_balance.Candidate]:
                    requested.append(True)
                    return []

                _balance.choose(
                    [make_candidate("own", True, **load)],
                    find_in_other_zones,
                    _balance.CallProfile(1, 0.5, 0.2),
                    0.1,
                    random.Random(1),
                )
                self.assertEqual(bool(requested), expected)

    def test_ejected_upstream_is_chosen_last(self) -> None:
        ejected = make_candidate("ejected", True)._replace(ejected=True)
        full = make_candidate("full", False, running=14)
        for own_zone, other_zones in (([ejected], [full]), ([full], [ejected])):
            chosen = _balance.choose(
                own_zone,
                lambda other_zones=other_zones: other_zones,  # type: ignore[misc]
                _balance.CallProfile(1, 0.5, 0.2),
                0.1,
                random.Random(1),
            )
            assert chosen is not None
            self.assertEqual(chosen.id, "full")


class BudgetTest(unittest.TestCase):
    """Retry budget of a deployment, divided among its nodes."""

    #: Services of the call chain.
    CHAIN = 4

    def setUp(self) -> None:
        self.clock = Clock()
        self.bounds = _model.RetryBounds(0.2, 48.0, 10.0)
        self.first_attempts: list[float] = []
        #: Attempts at the last service of the chain that are repeats.
        self.retries: list[float] = []

    def run_failing_chain(self, nodes: int, duration_s: float) -> None:
        """Sends requests that need a retry at each service of a chain."""
        rng = random.Random(3)
        budgets = [
            [
                _budget.RetryBudget(self.bounds, self.clock.now, rng.random())
                for _ in range(self.CHAIN)
            ]
            for _ in range(nodes)
        ]
        ends_at = self.clock.time_s + duration_s
        while self.clock.time_s < ends_at:
            self.clock.time_s += 0.005
            self.first_attempts.append(self.clock.time_s)
            for chain_depth, budget in enumerate(rng.choice(budgets)):
                budget.record_first_attempt()
                if budget.try_spend(nodes, chain_depth):
                    self.retries.append(self.clock.time_s)

    def count(self, times: list[float], ends_at: float) -> int:
        """Returns the number of times in the window that ends at one."""
        window_s = self.bounds.window_s
        return sum(1 for each in times if ends_at - window_s <= each <= ends_at)

    def test_retries_of_all_nodes_stay_within_the_total_budget(self) -> None:
        """A retry counts at each service further down the chain."""
        for nodes in (17, 194, 730):
            with self.subTest(nodes=nodes):
                self.retries.clear()
                self.run_failing_chain(nodes, 30.0)
                # 2000 requests in 10 s allow 448 retries; six of ten are
                # used at any size.
                self.assertGreater(len(self.retries), 0.6 * 3 * 448)
                for time_s in self.retries:
                    self.assertLessEqual(
                        self.count(self.retries, time_s),
                        0.2 * self.count(self.first_attempts, time_s) + 48.0,
                    )

    def test_last_service_of_a_chain_gets_half_of_the_retries(self) -> None:
        budget = _budget.RetryBudget(self.bounds, self.clock.now)
        for _ in range(1000):
            budget.record_first_attempt()
        spent = 0
        while budget.try_spend(194, 0):
            spent += 1
        self.assertEqual(spent, 100)

    def test_requests_before_a_decrease_count_for_half_a_window(self) -> None:
        """A service that fails gets fewer calls, since their parents fail."""
        budget = _budget.RetryBudget(self.bounds, self.clock.now)
        for _ in range(1000):
            self.clock.time_s += 0.01
            budget.record_first_attempt()
        self.clock.time_s += 4.9
        spent = 0
        while budget.try_spend(194, 0):
            spent += 1
        self.assertGreater(spent, 95)
        self.clock.time_s += self.bounds.window_s + 1.0
        self.assertFalse(budget.try_spend(194, 0))


class AdmissionControllerTest(unittest.TestCase):
    """Adaptive admission probability."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.rng = random.Random(5)
        self.service_pressure = _pressure.ServicePressure(self.clock.now)
        self.admission_controller = _admission.AdmissionController(
            self.clock.now, self.service_pressure, _admission.Kind()
        )
        self.pressure = 0.0

    def advance(self, seconds: float) -> None:
        """Advances the clock and ends the windows that are over."""
        windows = int(self.clock.time_s / _admission.WINDOW_S)
        self.clock.time_s += seconds
        if int(self.clock.time_s / _admission.WINDOW_S) > windows:
            _admission.end_windows([self.admission_controller])

    def run_load(
        self, seconds: float, success_ratio: float, per_s: int = 20
    ) -> float:
        """Offers requests and returns the fraction that was admitted."""
        admitted = 0
        count = int(seconds * per_s)
        for _ in range(count):
            self.advance(1.0 / per_s)
            if self.admission_controller.refuse(False, self.rng):
                continue
            admitted += 1
            self.record_pressure(self.pressure)
            self.admission_controller.record_outcome(
                self.rng.random() < success_ratio
            )
        return admitted / count

    def test_successful_requests_are_never_refused(self) -> None:
        self.assertEqual(self.run_load(20.0, 1.0), 1.0)

    def test_few_failures_do_not_reduce_admission(self) -> None:
        self.assertGreater(self.run_load(20.0, 0.9), 0.9)

    def test_half_failing_requests_are_admitted_while_slots_are_free(
        self,
    ) -> None:
        """Pattern: a called service refuses a part of its calls.

        Each admitted request has a chance, and no other would get its slots.
        """
        for success_ratio in (0.5, 0.3):
            with self.subTest(success_ratio=success_ratio):
                self.setUp()
                self.pressure = 0.5
                self.assertGreater(self.run_load(15.0, success_ratio), 0.95)

    def test_half_failing_requests_are_refused_under_pressure(self) -> None:
        self.pressure = 1.2
        self.run_load(5.0, 0.5)
        self.assertLess(self.run_load(5.0, 0.5), 0.6)

    def test_failures_count_however_long_the_queue_is(self) -> None:
        """Pattern: deadlines bound the queue, so pressure hides the excess."""
        self.pressure = 2.5
        self.run_load(2.0, 0.6)
        self.assertLess(self.run_load(4.0, 0.6), 0.15)

    def test_failing_requests_are_refused_at_the_entry(self) -> None:
        self.run_load(5.0, 0.05)
        self.assertLess(self.run_load(5.0, 0.05), 0.25)

    def record_pressure(self, ratio: float) -> None:
        """Records a pressure that a gate reports."""
        self.service_pressure.record(_pressure.Pressure(ratio, ""))

    def make_idempotent(self, pressure: float) -> None:
        """Replaces the controller by one of an idempotent kind."""
        self.admission_controller = _admission.AdmissionController(
            self.clock.now,
            self.service_pressure,
            _admission.Kind(idempotent=True),
        )
        self.pressure = pressure

    def test_failing_idempotent_requests_are_refused_under_pressure(
        self,
    ) -> None:
        self.make_idempotent(1.2)
        self.run_load(5.0, 0.05)
        self.assertLess(self.run_load(5.0, 0.05), 0.25)

    def test_failing_idempotent_requests_are_served_while_slots_are_free(
        self,
    ) -> None:
        """Pattern: a called service refuses a part of its calls.

        Refusals of callers would free no slots that others wait for.
        """
        self.make_idempotent(0.5)
        self.run_load(5.0, 0.05)
        self.assertGreater(self.run_load(15.0, 0.05), 0.3)

    def test_admission_is_complete_four_seconds_after_failures_end(
        self,
    ) -> None:
        self.run_load(30.0, 0.0)
        self.run_load(3.0, 1.0)
        self.assertGreater(self.run_load(1.0, 1.0), 0.6)
        self.assertEqual(self.run_load(2.0, 1.0), 1.0)

    def test_callee_pressure_reduces_the_probability_of_a_failing_kind(
        self,
    ) -> None:
        self.run_load(3.0, 0.7)
        # The settling time after a decrease that failures caused.
        for _ in range(4):
            self.advance(_admission.WINDOW_S)
        self.admission_controller.probability = 1.0
        for _ in range(40):
            self.record_pressure(2.0)
            self.advance(0.05)
            self.admission_controller.refuse(False, self.rng)
        self.assertLess(self.admission_controller.probability, 0.5)

    def test_pressure_does_not_affect_successful_requests(self) -> None:
        for _ in range(40):
            self.advance(0.05)
            self.record_pressure(5.0)
            self.admission_controller.record_outcome(True)
            self.assertFalse(self.admission_controller.refuse(False, self.rng))

    def test_caller_retries_are_more_likely_admitted(self) -> None:
        self.admission_controller.probability = 0.3
        first_tries = sum(
            not self.admission_controller.refuse(False, self.rng)
            for _ in range(1000)
        )
        caller_retries = sum(
            not self.admission_controller.refuse(True, self.rng)
            for _ in range(1000)
        )
        self.assertGreater(caller_retries, 2 * first_tries)


class CallOriginsTest(unittest.TestCase):
    """Detection of nested routes by the services where requests enter.

    Pattern: a proportion is judged by the number of calls expected.
    """

    def test_route_is_nested_when_its_requests_enter_at_some_services_only(
        self,
    ) -> None:
        cases = {
            "enters everywhere": (("a", "b", "c", "d"), False),
            "enters beside one service": (("a",), True),
            "enters beside two services": (("a", "b"), True),
            "nodes of one service are gone": (("a", "b", "c"), False),
        }
        for name, (origins, expected) in cases.items():
            with self.subTest(name):
                call_origins = _call_origins.CallOrigins()
                for number in range(100):
                    call_origins.record("r", origins[number % len(origins)])
                nested = call_origins.is_nested(
                    "r", origins[0], dict.fromkeys("abcd", 4)
                )
                self.assertEqual(nested, expected)

    def test_route_with_few_calls_is_not_nested(self) -> None:
        call_origins = _call_origins.CallOrigins()
        call_origins.record("r", "a")
        nested = call_origins.is_nested("r", "a", {"a": 1, "b": 1})
        self.assertFalse(nested)

    def count_nested(self, origins: list[str], calls: int) -> int:
        """Returns for how many of the calls of a route it counts as nested."""
        rng = random.Random(8)
        call_origins = _call_origins.CallOrigins()
        nested = 0
        for _ in range(calls):
            origin = rng.choice(origins)
            call_origins.record("r", origin)
            nested += call_origins.is_nested("r", origin, _FLEET)
        return nested

    def test_requests_of_callers_are_not_nested_beside_small_services(
        self,
    ) -> None:
        """Few requests enter at the nodes of a service with few upstreams."""
        everywhere = [
            name for name, count in _FLEET.items() for _ in range(count)
        ]
        without_small = [name for name in everywhere if name != "d"]
        for origins in (everywhere, without_small):
            self.assertLess(self.count_nested(origins, 3000), 30)

    def test_nested_route_is_detected_after_few_calls(self) -> None:
        for origins, calls in ((["c"], 10), (["a", "b"], 40)):
            with self.subTest(origins=origins):
                nested = self.count_nested(origins, 1000)
                self.assertGreater(nested, 1000 - calls)

    def test_test_of_a_nested_route_does_not_come_from_a_backend_server(
        self,
    ) -> None:
        call_origins = _call_origins.CallOrigins()
        for number in range(500):
            call_origins.record("r", "d" if number % 100 == 50 else "c")
        upstreams = dict.fromkeys("abcd", 4)
        self.assertTrue(call_origins.is_nested("r", "c", upstreams))
        self.assertFalse(call_origins.is_nested("r", "d", upstreams))

    def test_gates_that_have_not_detected_it_do_not_outvote_others(
        self,
    ) -> None:
        rng = random.Random(8)
        nested_routes = _call_origins.NestedRoutes()
        nested = fresh = 0
        for _ in range(1000):
            nested_routes.record("nested", rng.random() < 0.75)
            nested_routes.record("fresh", rng.random() < 0.05)
            nested += nested_routes.contains("nested")
            fresh += nested_routes.contains("fresh")
        self.assertGreater(nested, 950)
        self.assertLess(fresh, 20)


#: Upstreams of each service of a large fleet.
_FLEET = {"a": 100, "b": 58, "c": 25, "d": 11}
