"""Scene `demo`: a small deployment under steady load and a flood."""

import time

from flamingolug import manifest
from flamingolug_bench import deployment
from flamingolug_bench import faults
from flamingolug_bench import flood
from flamingolug_bench import load
from flamingolug_bench import measure
from flamingolug_bench import runner

_ZONES = ("attica-a", "attica-b", "attica-c")
_SERVICES = (
    deployment.ServicePlan("shopfront", _ZONES, 4, 30),
    deployment.ServicePlan("orders", _ZONES, 6, 40),
    deployment.ServicePlan("library", _ZONES[:1], 6, 40),
    deployment.ServicePlan("archive", _ZONES[:2], 7, 50),
)
_STEADY_S = 4.0
_FLOOD_S = 6.0
_RECOVERY_S = 4.0
#: Parts of the run by their names in the printed table. Requests of the first
#: half second are not counted.
_SPANS = {
    "calm": measure.Span(0.5, _STEADY_S),
    "flood": measure.Span(_STEADY_S, _STEADY_S + _FLOOD_S),
    "after": measure.Span(
        _STEADY_S + _FLOOD_S, _STEADY_S + _FLOOD_S + _RECOVERY_S
    ),
}
#: Requests per second of the ordinary callers, by kind.
_STEADY_RATES = {
    "renew-box": 12.0,
    "order-box": 12.0,
    "browse-scents": 30.0,
    "download-guide": 20.0,
    "confirm-shipment": 10.0,
}
_FLOODED_KIND = "browse-scents"
#: Additional requests per second during the flood.
_FLOOD_RATE = 350.0


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the scene, prints tables and returns its figures."""
    del duration_s
    deployed_manifest = flood.load_manifest(flood.KYPARISSI)
    plan = deployment.DeploymentPlan(deployed_manifest, _SERVICES)
    started_at = time.monotonic()
    print("starting a store, 9 nodes and their backend servers ...")
    with deployment.Deployment(plan) as running:
        print(
            f"  up after {time.monotonic() - started_at:.0f} s; manifest "
            f"revision {running.status(running.nodes[0])['revision']} "
            "is in force"
        )
        print(
            f"sending traffic: {_STEADY_S:.0f} s calm, {_FLOOD_S:.0f} s with "
            f"{_FLOOD_RATE:.0f} more {_FLOODED_KIND} a second from a caller "
            f"that retries three times, {_RECOVERY_S:.0f} s calm ..."
        )
        records = runner.LoadRun(
            running, _make_streams(deployed_manifest), seed, processes=2
        ).finish()
        ledger = running.ledger()
        refusals = running.metrics().get("flamingolug.refusals", {})
    _print_table(deployed_manifest, records)
    _print_refusals(refusals)
    counts = faults.verify_outcomes(deployed_manifest, records, ledger)
    print(
        f"\njudged by the backend servers' ledgers: {counts.doubled} run "
        f"twice, {counts.wrong} wrong answers, {counts.lost} lost, "
        f"{counts.false_not_run} falsely 'not run'"
    )
    return {
        "requests": len(records),
        "doubled": counts.doubled,
        "wrong": counts.wrong,
        "lost": counts.lost,
        "false_not_run": counts.false_not_run,
    }


def _make_streams(deployed_manifest: manifest.Manifest) -> list[load.Stream]:
    """Returns the streams of ordinary callers and of a careless one.

    The careless caller sends the flood and retries three times, ordinary
    callers once.
    """
    end_s = _SPANS["after"].end_s
    streams = [
        flood.make_stream(
            deployed_manifest.kinds[name],
            "shopper",
            [load.Phase(0.0, end_s, rate)],
            1,
        )
        for name, rate in _STEADY_RATES.items()
    ]
    span = _SPANS["flood"]
    streams.append(
        flood.make_stream(
            deployed_manifest.kinds[_FLOODED_KIND],
            "careless",
            [load.Phase(span.begin_s, span.end_s, _FLOOD_RATE)],
            3,
        )
    )
    return streams


def _print_table(
    deployed_manifest: manifest.Manifest, records: list[load.Record]
) -> None:
    """Prints the successful requests by kind and part of the run.

    The rows are those of ordinary callers; the careless caller has one line in
    total.
    """
    print(
        f"\n{'kind':18} {'rank':>4} "
        + "".join(f"{span_name + ' successful':>22}" for span_name in _SPANS)
    )
    for name in sorted(
        _STEADY_RATES, key=lambda each: deployed_manifest.kinds[each].rank
    ):
        cells: list[str] = []
        for span in _SPANS.values():
            in_span = [
                each
                for each in records
                if each.kind == name
                and each.caller == "shopper"
                and span.contains(each)
            ]
            successes = sum(
                measure.is_successful(each, deployed_manifest)
                for each in in_span
            )
            share = 100.0 * successes / max(len(in_span), 1)
            cells.append(f"{successes:>8} of {len(in_span):>4} {share:4.0f}%")
        print(
            f"{name:18} {deployed_manifest.kinds[name].rank:>4} "
            + "".join(f"{cell:>22}" for cell in cells)
        )
    careless = [each for each in records if each.caller == "careless"]
    successes = sum(
        measure.is_successful(each, deployed_manifest) for each in careless
    )
    print(
        f"careless caller: {successes} of {len(careless)} requests successful "
        f"({100.0 * successes / max(len(careless), 1):.0f}%)"
    )


def _print_refusals(refusals: dict[str, int]) -> None:
    print("\nrefusals by reason and step:")
    for label, count in sorted(refusals.items()):
        print(f"  {label:28} {count}")
