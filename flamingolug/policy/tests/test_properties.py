"""Invariants of the policy decisions, on generated inputs and fixed cases."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from flamingolug import policy
from flamingolug.telemetry import _names

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=200
)
hypothesis.settings.load_profile("ci")
_COUNT = strategies.integers(0, 60)


class AllowanceTest(unittest.TestCase):
    @hypothesis.given(_COUNT, strategies.integers(1, 20), _COUNT)
    def test_allowance_is_zero_or_covers_the_call_within_remaining_attempts(
        self, remaining: int, needed: int, retries: int
    ) -> None:
        allowance = policy.allowance_for_attempt(remaining, needed, retries)
        self.assertLessEqual(allowance, remaining)
        self.assertTrue(allowance == 0 or allowance >= needed)

    @hypothesis.given(
        strategies.integers(1, 100),
        strategies.lists(strategies.integers(1, 5), max_size=15),
        strategies.randoms(use_true_random=False),
    )
    def test_total_attempts_never_exceed_the_bound(
        self, bound: int, needed_by_attempt: list[int], rng: random.Random
    ) -> None:
        """Allowances stay disjoint whichever answers are lost."""
        remaining = bound
        spent = 0
        for needed in needed_by_attempt:
            allowance = policy.allowance_for_attempt(remaining, needed, 2)
            if allowance == 0:
                continue
            answer_lost = rng.random() < 0.5
            used = allowance if answer_lost else rng.randint(1, allowance)
            remaining -= used
            spent += used
        self.assertLessEqual(spent, bound)
        self.assertEqual(spent + remaining, bound)

    @hypothesis.given(_COUNT, _COUNT, strategies.lists(_COUNT, max_size=8))
    def test_child_allowance_covers_the_call_as_far_as_attempts_remain(
        self, remaining: int, needed: int, later: list[int]
    ) -> None:
        allowance = policy.allowance_for_child_call(remaining, needed, later)
        self.assertLessEqual(allowance, remaining)
        self.assertGreaterEqual(allowance, min(remaining, needed))


class LimitTest(unittest.TestCase):
    @hypothesis.given(
        strategies.integers(1, 100),
        strategies.integers(1, 100),
        strategies.lists(
            strategies.tuples(
                strategies.none() | strategies.floats(0.1, 50.0),
                strategies.booleans(),
            ),
            max_size=60,
        ),
    )
    def test_limit_stays_between_one_and_the_ceiling(
        self,
        slots: int,
        connections: int,
        windows: list[tuple[float | None, bool]],
    ) -> None:
        state = policy.initial_limit(slots, connections)
        for latency_ratio, saturated in windows:
            state = policy.next_limit(state, latency_ratio, saturated)
            self.assertGreaterEqual(state.limit, 1.0)
            self.assertLessEqual(state.limit, min(slots, connections))


class CutoffTest(unittest.TestCase):
    @hypothesis.given(
        strategies.dictionaries(
            strategies.integers(0, 500), strategies.integers(1, 50)
        ),
        _COUNT,
        _COUNT,
    )
    def test_window_without_shedding_never_lowers_the_cutoff(
        self, offered: dict[int, int], started: int, cutoff: int
    ) -> None:
        before = policy.CutoffState(cutoff, 2)
        window = policy.CutoffWindow(offered, started, 0, False)
        after = policy.next_cutoff(before, window, 512)
        self.assertGreaterEqual(after.cutoff, min(cutoff, 512))

    @hypothesis.given(
        strategies.dictionaries(
            strategies.integers(0, 500),
            strategies.integers(1, 50),
            min_size=1,
        ),
        _COUNT,
        strategies.integers(1, 50),
    )
    def test_cutoff_after_shedding_admits_at_least_the_started_calls(
        self, offered: dict[int, int], started: int, shed: int
    ) -> None:
        total = sum(offered.values())
        started = min(started, total)
        window = policy.CutoffWindow(offered, started, shed, True)
        after = policy.next_cutoff(policy.CutoffState(512, 2), window, 512)
        admitted = sum(
            count for level, count in offered.items() if level <= after.cutoff
        )
        self.assertGreaterEqual(admitted, started)


class RetryTest(unittest.TestCase):
    @hypothesis.given(
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
        _COUNT,
        strategies.integers(1, 10),
        strategies.booleans(),
        strategies.floats(-1.0, 1.0),
    )
    def test_call_that_may_have_run_is_retried_only_if_idempotent(
        self,
        final: bool,
        answered_with_failure: bool,
        non_idempotent: bool,
        remaining: int,
        needed: int,
        has_budget: bool,
        time_left_s: float,
    ) -> None:
        decision = policy.decide_retry(
            policy.RetryContext(
                not_run=False,
                unreachable=False,
                final=final,
                answered_with_failure=answered_with_failure,
                non_idempotent=non_idempotent,
                remaining=remaining,
                attempts_needed=needed,
                has_budget=has_budget,
                time_left_s=time_left_s,
                time_needed_s=0.0,
            )
        )
        self.assertNotEqual(
            decision.retry_reason is None, decision.denial_reason is None
        )
        if decision.retry_reason is None:
            return
        self.assertFalse(non_idempotent)
        self.assertGreaterEqual(remaining, needed)
        self.assertTrue(has_budget)


class RoutingTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.floats(0.0, 5.0),
                strategies.integers(0, 100),
                strategies.booleans(),
                strategies.booleans(),
            ),
            max_size=8,
        ),
        strategies.integers(0, 100),
        strategies.integers(0, 1000),
    )
    def test_chosen_upstream_admits_the_call_and_is_not_leaving(
        self,
        candidate_fields: list[tuple[bool, float, int, bool, bool]],
        level: int,
        seed: int,
    ) -> None:
        candidates = [
            policy.Candidate(f"u{index}", *fields)
            for index, fields in enumerate(candidate_fields)
        ]
        choice = policy.choose_upstream(
            candidates, level, frozenset(), random.Random(seed)
        )
        by_name = {each.name: each for each in candidates}
        if choice.name is None:
            self.assertIsNotNone(choice.refusal)
            return
        chosen = by_name[choice.name]
        self.assertFalse(chosen.leaving)
        self.assertLessEqual(level, chosen.cutoff)

    def test_own_zone_is_preferred_unless_busy(self) -> None:
        cases = {
            "own zone idle": (0.2, 0.0, "own"),
            "own zone busy, other idle": (1.5, 0.1, "other"),
            "both busy": (1.5, 1.4, "own"),
        }
        for name, (own_load, other_load, expected) in cases.items():
            with self.subTest(name):
                choice = policy.choose_upstream(
                    [
                        policy.Candidate(
                            "own", True, own_load, 9, False, False
                        ),
                        policy.Candidate(
                            "other", False, other_load, 9, False, False
                        ),
                    ],
                    1,
                    frozenset(),
                    random.Random(1),
                )
                self.assertEqual(choice.name, expected)

    def test_call_above_every_cutoff_is_refused_by_level(self) -> None:
        choice = policy.choose_upstream(
            [policy.Candidate("a", True, 0.0, 5, False, False)],
            6,
            frozenset(),
            random.Random(1),
        )
        self.assertEqual(choice.refusal, _names.Refusal.LEVEL)


class FairnessTest(unittest.TestCase):
    def test_only_callers_far_above_the_mean_exceed_their_share(
        self,
    ) -> None:
        cases: dict[str, tuple[dict[str, int], set[str]]] = {
            "alone": ({"a": 100}, set()),
            "two equal": ({"a": 50, "b": 50}, set()),
            "two, one excessive": ({"a": 300, "b": 20}, {"a"}),
            "many, one excessive": ({"a": 200, "b": 20, "c": 20}, {"a"}),
            "unequal but fair": ({"a": 12, "b": 10, "c": 9}, set()),
        }
        for name, (requests, expected) in cases.items():
            with self.subTest(name):
                shares = policy.FairShares()
                order = [
                    caller
                    for caller, count in requests.items()
                    for _ in range(count)
                ]
                random.Random(1).shuffle(order)
                for caller in order:
                    shares.record(caller)
                over = {each for each in requests if shares.record(each)}
                self.assertEqual(over, expected)


class OwnershipTest(unittest.TestCase):
    @hypothesis.given(
        strategies.text(max_size=20),
        strategies.sets(strategies.text(min_size=1, max_size=8), max_size=8),
    )
    def test_removing_a_name_reassigns_only_its_own_keys(
        self, key: str, names: set[str]
    ) -> None:
        owner = policy.owner_of(key, sorted(names))
        for removed in names:
            if removed == owner:
                continue
            self.assertEqual(
                policy.owner_of(key, sorted(names - {removed})), owner
            )
