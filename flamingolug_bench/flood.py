"""Scenes under overload, run with admission control, then as the baseline.

Each scene runs a deployment with admission control (`full`) and without
(`none`) and computes the same figures for both.
"""

import pathlib
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from flamingolug import manifest
from flamingolug_bench import deployment
from flamingolug_bench import load
from flamingolug_bench import measure
from flamingolug_bench import runner

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
#: Lengths of the parts of a scene: before, during and after the flood.
STEADY_S = 4.0
FLOOD_S = 8.0
RECOVERY_S = 5.0
#: Base ports of the run with admission control and of the baseline.
_FULL_BASE_PORT = 20_000
_BASELINE_BASE_PORT = 24_000
_KYPARISSI_ZONES = ("attica-a", "attica-b", "attica-c")
_QURAYYAT_ZONES = ("ruwi", "ghala", "seeb", "amerat")
#: Slots and connections of the deployments in the requirements, relative to
#: those that the scenes start. Informative: no code uses the value.
SCALE = 10
#: Factor on the service times of the manifests; request rates are divided by
#: it. In production each process has a core of its own, while here all share a
#: machine with six cores. The factor keeps the relative cost of the nodes
#: about the same as in production.
TIME_SCALE = 2.0

#: Requests of the first second belong to no part.
TIMELINE = measure.Timeline(
    measure.Span(1.0, STEADY_S),
    measure.Span(STEADY_S, STEADY_S + FLOOD_S),
    measure.Span(STEADY_S + FLOOD_S, STEADY_S + FLOOD_S + RECOVERY_S),
)


class ReferenceDeployment(NamedTuple):
    """A deployment from the requirements, scaled down to one machine."""

    manifest_file: str
    services: tuple[deployment.ServicePlan, ...]
    #: Requests per second outside the flood, by kind, before `TIME_SCALE`.
    steady_rates: Mapping[str, float]


KYPARISSI = ReferenceDeployment(
    "kyparissi.yaml",
    (
        deployment.ServicePlan("shopfront", _KYPARISSI_ZONES, 4, 30),
        deployment.ServicePlan("orders", _KYPARISSI_ZONES, 12, 80),
        deployment.ServicePlan("library", _KYPARISSI_ZONES, 12, 80),
        deployment.ServicePlan(
            "archive", (*_KYPARISSI_ZONES, *_KYPARISSI_ZONES[:2]), 7, 50
        ),
    ),
    {
        "renew-box": 25.0,
        "order-box": 25.0,
        "browse-scents": 70.0,
        "download-guide": 60.0,
        "confirm-shipment": 30.0,
    },
)
QURAYYAT = ReferenceDeployment(
    "qurayyat.yaml",
    (
        deployment.ServicePlan("certdesk", (*_QURAYYAT_ZONES, "ruwi"), 5, 40),
        deployment.ServicePlan("testbook", _QURAYYAT_ZONES, 5, 40),
        deployment.ServicePlan("faultline", _QURAYYAT_ZONES, 5, 40),
        deployment.ServicePlan("billhall", _QURAYYAT_ZONES, 2, 20),
    ),
    {
        "fetch-certificate": 60.0,
        "submit-test": 60.0,
        "raise-defect": 40.0,
        "browse-records": 60.0,
        "monthly-report": 40.0,
    },
)


class Scene(NamedTuple):
    """The load and the disturbances of one scene."""

    reference: ReferenceDeployment
    #: Additional requests per second during the flood, by kind, before
    #: `TIME_SCALE`.
    flood_rates: Mapping[str, float]
    #: Number of retries by the callers themselves.
    retries: int = 3
    #: Fields of `BackendConfig` to replace, by name of the backend server.
    backend_changes: Mapping[str, Mapping[str, Any]] = {}
    #: Called when the flood begins and when it ends.
    on_flood_begin: Callable[[deployment.Deployment], None] = lambda running: (
        None
    )
    on_flood_end: Callable[[deployment.Deployment], None] = lambda running: None
    #: Factor on the service times during the flood, by service, for the
    #: computation of the upper bound.
    slow_factors: Mapping[str, float] = {}
    #: Services that share no bottleneck with the flood.
    unaffected_services: tuple[str, ...] = ()
    #: Whether one caller sends the whole flood instead of two.
    single_caller: bool = False


class RunResult(NamedTuple):
    """Figures of one run, with admission control or as the baseline."""

    #: Worth served during the flood, relative to the upper bound.
    goodput_of_bound: float
    #: Seconds from the end of the flood to recovery.
    recovery_s: float
    #: Success ratio of the most urgent rank during the flood.
    top_rank_share: float
    #: Success ratio of the unaffected services during the flood, relative to
    #: the one before.
    others_kept: float
    #: Mean number of executions per request of a caller in the ledgers of the
    #: backend servers, including those of the nested calls made for it.
    attempts_mean: float
    #: Largest number of such executions of one request.
    attempts_max: int
    #: Requests with more such executions than the largest number of attempts
    #: that a kind of the manifest allows.
    over_bound: int
    #: Queued calls that a node refused although a call of a less urgent rank
    #: had started after they arrived; counted by the nodes.
    inversions: int
    #: Share of executions that no successful request needed.
    wasted_share: float
    #: Served share of the offered worth before the flood.
    calm_share: float
    #: Success ratio during the flood, by urgency rank.
    rank_shares: Mapping[int, float]
    #: Refusals by the nodes, by the joined values of their labels.
    refusals: Mapping[str, int]


def run_once(scene: Scene, control: str, seed: int) -> RunResult:
    """Runs a scene once.

    Args:
        scene: the scene.
        control: `full`, or `none` for the baseline.
        seed: seed of the callers.
    """
    deployed_manifest = load_manifest(scene.reference)
    port = _FULL_BASE_PORT if control == "full" else _BASELINE_BASE_PORT
    plan = deployment.DeploymentPlan(
        deployed_manifest,
        scene.reference.services,
        control=control,
        base_port=port,
        backend_changes=scene.backend_changes,
    )
    with deployment.Deployment(plan) as running:
        load_run = runner.LoadRun(
            running, _make_streams(scene, deployed_manifest), seed, processes=2
        )
        load_run.sleep_until(TIMELINE.flood.begin_s)
        scene.on_flood_begin(running)
        load_run.sleep_until(TIMELINE.flood.end_s)
        scene.on_flood_end(running)
        records = load_run.finish()
        return _compute_result(scene, deployed_manifest, records, running)


def load_manifest(reference: ReferenceDeployment) -> manifest.Manifest:
    """Returns the manifest of a deployment with scaled service times."""
    deployed_manifest = manifest.load_file(
        str(_EXAMPLES / reference.manifest_file)
    )
    kinds = {
        name: kind._replace(service_time_ms=kind.service_time_ms * TIME_SCALE)
        for name, kind in deployed_manifest.kinds.items()
    }
    return deployed_manifest._replace(kinds=kinds)


def _make_streams(
    scene: Scene, deployed_manifest: manifest.Manifest
) -> list[load.Stream]:
    """Returns the streams of all callers of a scene."""
    streams: list[load.Stream] = []
    end_s = TIMELINE.recovery.end_s
    for name, rate in scene.reference.steady_rates.items():
        streams.append(
            make_stream(
                deployed_manifest.kinds[name],
                "ordinary",
                [load.Phase(0.0, end_s, rate / TIME_SCALE)],
                scene.retries,
            )
        )
    flood_span = TIMELINE.flood
    for name, rate in scene.flood_rates.items():
        callers = 1 if scene.single_caller else 2
        for index in range(callers):
            streams.append(
                make_stream(
                    deployed_manifest.kinds[name],
                    f"flood-{index}",
                    [
                        load.Phase(
                            flood_span.begin_s,
                            flood_span.end_s,
                            rate / callers / TIME_SCALE,
                        )
                    ],
                    scene.retries,
                )
            )
    return streams


def make_stream(
    kind: manifest.Kind,
    caller: str,
    phases: list[load.Phase],
    retries: int,
) -> load.Stream:
    """Returns the requests of one kind from one group of callers."""
    route = kind.route or manifest.Route("GET", "/")
    return load.Stream(
        kind=kind.name,
        service=kind.service,
        method=route.method,
        path=route.path,
        caller=caller,
        deadline_ms=kind.deadline_ms,
        phases=phases,
        retries=retries,
        keyed=route.method == "POST",
    )


def _compute_result(
    scene: Scene,
    deployed_manifest: manifest.Manifest,
    records: list[load.Record],
    running: deployment.Deployment,
) -> RunResult:
    """Computes the figures of one run."""
    flood_records = [each for each in records if TIMELINE.flood.contains(each)]
    steady_records = [
        each for each in records if TIMELINE.steady.contains(each)
    ]
    top_rank = min(
        deployed_manifest.kinds[name].rank
        for name in scene.reference.steady_rates
    )
    unaffected = [
        each
        for each in flood_records
        if deployed_manifest.kinds[each.kind].service
        in scene.unaffected_services
        and each.kind not in scene.flood_rates
    ]
    ratio_by_rank = measure.success_ratio_by_rank(
        flood_records, deployed_manifest
    )
    slots = {
        each.name: each.slots * len(each.zones)
        for each in scene.reference.services
    }
    metrics = running.metrics()
    ledger = running.ledger()
    executions_by_request: dict[str, int] = {}
    for entry in ledger:
        executions_by_request[entry.request] = (
            executions_by_request.get(entry.request, 0) + 1
        )
    successes = sum(
        measure.is_successful(each, deployed_manifest) for each in records
    )
    needed_attempts = sum(
        deployed_manifest.attempts_needed(each.kind)
        for each in records
        if measure.is_successful(each, deployed_manifest)
    )
    max_attempts = max(
        kind.attempts for kind in deployed_manifest.kinds.values()
    )
    return RunResult(
        goodput_of_bound=measure.goodput_of_bound(
            records,
            _with_slow_factors(deployed_manifest, scene.slow_factors),
            slots,
            TIMELINE.flood,
        ),
        recovery_s=measure.recovery_s(records, deployed_manifest, TIMELINE),
        top_rank_share=ratio_by_rank.get(top_rank, 1.0),
        others_kept=measure.success_ratio(unaffected, deployed_manifest)
        / max(
            measure.success_ratio(
                [
                    each
                    for each in steady_records
                    if deployed_manifest.kinds[each.kind].service
                    in scene.unaffected_services
                ],
                deployed_manifest,
            ),
            0.01,
        ),
        attempts_mean=sum(executions_by_request.values())
        / max(len(executions_by_request), 1),
        attempts_max=max(executions_by_request.values(), default=0),
        over_bound=sum(
            1
            for count in executions_by_request.values()
            if count > max_attempts
        ),
        inversions=sum(
            metrics.get("flamingolug.admission.inversions", {}).values()
        ),
        wasted_share=1.0 - needed_attempts / max(len(ledger), 1)
        if successes
        else 1.0,
        calm_share=measure.served_worth_ratio(
            steady_records, deployed_manifest
        ),
        rank_shares=ratio_by_rank,
        refusals=metrics.get("flamingolug.refusals", {}),
    )


def _with_slow_factors(
    deployed_manifest: manifest.Manifest, factors: Mapping[str, float]
) -> manifest.Manifest:
    """Returns the manifest with service times multiplied by `factors`."""
    kinds = {
        name: kind._replace(
            service_time_ms=kind.service_time_ms
            * factors.get(kind.service, 1.0)
        )
        for name, kind in deployed_manifest.kinds.items()
    }
    return deployed_manifest._replace(kinds=kinds)


def _make_slowdown(
    service_or_zone: str, factor: float
) -> Callable[[deployment.Deployment], None]:
    """Returns a function that slows a service or a zone down by a factor."""

    def set_slow_factor(running: deployment.Deployment) -> None:
        for node in running.nodes:
            if service_or_zone in (node.service, node.zone):
                running.backend_request(
                    node.backend, "/-/slow", str(factor).encode()
                )

    return set_slow_factor


def _cold_start_changes() -> dict[str, dict[str, Any]]:
    """Returns changes that make two backend servers of one service cold.

    Their service times are three times as long from their start until about
    the middle of the flood.
    """
    return {
        f"shopfront-{index}": {
            "cold_factor": 3.0,
            # The last term allows for the time from the start of the servers to
            # that of the schedule.
            "cold_s": STEADY_S + FLOOD_S / 2.0 + 2.0,
        }
        for index in range(2)
    }


def _false_slot_changes() -> dict[str, dict[str, Any]]:
    """Returns changes that make backend servers announce too many slots."""
    return {f"shopfront-{index}": {"claimed_slots": 40} for index in range(3)}


SCENES: dict[str, Scene] = {
    "flood-least": Scene(
        QURAYYAT,
        {"browse-records": 900.0},
        unaffected_services=("faultline", "billhall"),
    ),
    "flood-most": Scene(
        KYPARISSI,
        {"renew-box": 700.0},
        unaffected_services=("library",),
    ),
    "slow-deep": Scene(
        KYPARISSI,
        {},
        on_flood_begin=_make_slowdown("archive", 12.0),
        on_flood_end=_make_slowdown("archive", 1.0),
        slow_factors={"archive": 12.0},
        unaffected_services=("library",),
    ),
    "surge-retries": Scene(
        QURAYYAT,
        {
            "fetch-certificate": 120.0,
            "submit-test": 120.0,
            "browse-records": 200.0,
            "monthly-report": 200.0,
        },
        retries=6,
        unaffected_services=("faultline", "billhall"),
    ),
    "careless-caller": Scene(
        KYPARISSI,
        {"browse-scents": 500.0},
        retries=10,
        single_caller=True,
        unaffected_services=("library",),
    ),
    "cold-start": Scene(
        KYPARISSI,
        {"browse-scents": 100.0},
        backend_changes=_cold_start_changes(),
        unaffected_services=("library",),
    ),
    "lying-health": Scene(
        KYPARISSI,
        {"browse-scents": 500.0},
        backend_changes=_false_slot_changes(),
        unaffected_services=("library",),
    ),
    "zone-slow": Scene(
        QURAYYAT,
        {"browse-records": 100.0},
        on_flood_begin=_make_slowdown("ghala", 10.0),
        on_flood_end=_make_slowdown("ghala", 1.0),
        unaffected_services=("faultline", "billhall"),
    ),
    "combined": Scene(
        KYPARISSI,
        {"renew-box": 400.0, "browse-scents": 400.0},
        retries=6,
        on_flood_begin=_make_slowdown("archive", 4.0),
        on_flood_end=_make_slowdown("archive", 1.0),
        slow_factors={"archive": 4.0},
        unaffected_services=("library",),
    ),
}
