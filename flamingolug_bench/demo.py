"""The demo: a small deployment, real traffic, a flood, and what happened."""

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
_CALM_S = 4.0
_FLOOD_S = 6.0
_AFTER_S = 4.0
_PARTS = {
    "calm": measure.Span(0.5, _CALM_S),
    "flood": measure.Span(_CALM_S, _CALM_S + _FLOOD_S),
    "after": measure.Span(_CALM_S + _FLOOD_S, _CALM_S + _FLOOD_S + _AFTER_S),
}
_CALM_RATES = {
    "renew-box": 12.0,
    "order-box": 12.0,
    "browse-scents": 30.0,
    "download-guide": 20.0,
    "confirm-shipment": 10.0,
}
_FLOODED = "browse-scents"
_FLOOD_RATE = 350.0


def run(seed: int, duration_s: float) -> dict[str, object]:
    """Runs the demo and returns a summary."""
    del duration_s
    found = flood.load_manifest(flood.KYPARISSI)
    plan = deployment.DeploymentPlan(found, _SERVICES)
    began = time.monotonic()
    print("starting a store, 9 nodes and their backend servers ...")
    with deployment.Deployment(plan) as running:
        print(
            f"  up after {time.monotonic() - began:.0f} s; manifest revision "
            f"{running.status(running.nodes[0])['revision']} is in force"
        )
        print(
            f"sending traffic: {_CALM_S:.0f} s calm, {_FLOOD_S:.0f} s with "
            f"{_FLOOD_RATE:.0f} more {_FLOODED} a second from a caller that "
            f"retries at once, {_AFTER_S:.0f} s calm ..."
        )
        records = runner.LoadRun(
            running, _streams(found), seed, processes=2
        ).finish()
        ledger = running.ledger()
        refusals = running.metrics().get("flamingolug.refusals", {})
    _print_table(found, records)
    _print_refusals(refusals)
    verdicts = faults.judge(found, records, ledger)
    print(
        f"\njudged by the backend servers' ledgers: {verdicts.doubled} run "
        f"twice, {verdicts.wrong} wrong answers, {verdicts.lost} lost, "
        f"{verdicts.false_not_run} falsely 'not run'"
    )
    return {
        "requests": len(records),
        "doubled": verdicts.doubled,
        "wrong": verdicts.wrong,
        "lost": verdicts.lost,
        "false_not_run": verdicts.false_not_run,
    }


def _streams(found: manifest.Manifest) -> list[load.Stream]:
    """Returns ordinary callers and a careless one."""
    end_s = _PARTS["after"].end_s
    streams = [
        flood.make_stream(
            found.kinds[name], "shopper", [load.Phase(0.0, end_s, rate)], 1
        )
        for name, rate in _CALM_RATES.items()
    ]
    span = _PARTS["flood"]
    streams.append(
        flood.make_stream(
            found.kinds[_FLOODED],
            "careless",
            [load.Phase(span.begin_s, span.end_s, _FLOOD_RATE)],
            3,
        )
    )
    return streams


def _print_table(found: manifest.Manifest, records: list[load.Record]) -> None:
    """Prints requests and whole answers by kind and part."""
    print(
        f"\n{'kind':18} {'rank':>4} "
        + "".join(f"{part + ' whole':>22}" for part in _PARTS)
    )
    for name in sorted(_CALM_RATES, key=lambda each: found.kinds[each].rank):
        cells: list[str] = []
        for span in _PARTS.values():
            within = [
                each
                for each in records
                if each.kind == name
                and each.caller == "shopper"
                and span.holds(each)
            ]
            whole = sum(measure.is_whole(each, found) for each in within)
            share = 100.0 * whole / max(len(within), 1)
            cells.append(f"{whole:>8} of {len(within):>4} {share:4.0f}%")
        print(
            f"{name:18} {found.kinds[name].rank:>4} "
            + "".join(f"{cell:>22}" for cell in cells)
        )
    careless = [each for each in records if each.caller == "careless"]
    whole = sum(measure.is_whole(each, found) for each in careless)
    print(
        f"the careless caller got {whole} of {len(careless)} "
        f"({100.0 * whole / max(len(careless), 1):.0f}%)"
    )


def _print_refusals(refusals: dict[str, int]) -> None:
    print("\nrefusals by reason and step:")
    for label, count in sorted(refusals.items()):
        print(f"  {label:28} {count}")
