"""Command line program `flamingolug-bench`: runs one scene.

`--duration` is a time in seconds, 0 for the default of the scene: the length of
the load (`faults`, `rolling`), the length of the load on each call path
(`overhead`) or the time in which faults are started (`soak`). For
`config-spread` and `join` it is the number of nodes, for `control-cost` the
largest number of nodes. The other scenes ignore it.

`--nodes` is the number of instances of `soak`, 0 for the default.
"""

import argparse
import signal
import time
from typing import Any

from flamingolug_bench import control
from flamingolug_bench import demo
from flamingolug_bench import faults
from flamingolug_bench import flood
from flamingolug_bench import overhead
from flamingolug_bench import rolling
from flamingolug_bench import soak

_NAME_WIDTH = 22


def main() -> None:
    """Runs the scene that the command line names; see `--help`."""
    parser = argparse.ArgumentParser(prog="flamingolug-bench")
    parser.add_argument("scene")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=0.0)
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument(
        "--seeds", default="", help="range A-B of seeds, for soak"
    )
    parser.add_argument(
        "--variant",
        default="",
        help="name of a node defect from soak/variants.py, for soak",
    )
    args = parser.parse_args()
    # SIGTERM raises KeyboardInterrupt, so that the processes that the scene
    # started are ended.
    signal.signal(signal.SIGTERM, _interrupt)
    scenes = _scenes()
    if args.scene not in scenes:
        print("scenes:", " ".join(sorted(scenes)))
        return
    started_at = time.monotonic()
    if args.scene == "soak":
        figures = _run_soak(args)
    else:
        figures = scenes[args.scene](args.seed, args.duration)
    pairs = " ".join(f"{key}={_format(each)}" for key, each in figures.items())
    print(f"took {time.monotonic() - started_at:.0f} s")
    print(f"result scene={args.scene} seed={args.seed} {pairs}")


def _interrupt(signal_number: int, frame: object) -> None:
    del signal_number, frame
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


def _scenes() -> dict[str, Any]:
    """Returns the functions that run the scenes, by scene name."""
    scenes: dict[str, Any] = {
        "overhead": overhead.run,
        "config-spread": control.run_propagation,
        "control-cost": control.run_cost,
        "demo": demo.run,
        "faults": faults.run,
        "join": control.run_join,
        "rolling": rolling.run,
        "soak": lambda seed, duration: soak.run(
            seed, soak.SoakOptions(duration)
        ),
    }
    for name in flood.SCENES:
        scenes[name] = lambda seed, duration, name=name: _run_flood(name, seed)
    scenes["baseline"] = lambda seed, duration: _run_baseline(seed)
    return scenes


def _run_soak(args: argparse.Namespace) -> dict[str, object]:
    """Runs the soak with one seed or with a series of seeds."""
    program: tuple[str, ...] = soak.NODE_PROGRAM
    if args.variant:
        program = ("flamingolug_bench.soak.variants", args.variant)
    options = soak.SoakOptions(
        args.duration, args.nodes or soak.DEFAULT_INSTANCES, program
    )
    if not args.seeds:
        return soak.run(args.seed, options)
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    return soak.run_series(seeds, options)


def _run_flood(name: str, seed: int) -> dict[str, object]:
    """Runs a scene with admission control and as the baseline; prints both."""
    scene = flood.SCENES[name]
    with_control = flood.run_once(scene, "full", seed)
    baseline = flood.run_once(scene, "none", seed)
    print(f"{'':{_NAME_WIDTH}} {'control':>12} {'baseline':>12}")
    for field in flood.RunResult._fields:
        with_control_value, baseline_value = (
            getattr(with_control, field),
            getattr(baseline, field),
        )
        if isinstance(with_control_value, dict):
            for key in sorted(
                with_control_value.keys() | baseline_value.keys()
            ):
                _print_row(
                    f"{field} {key}",
                    with_control_value.get(key, 0),
                    baseline_value.get(key, 0),
                )
            continue
        _print_row(field, with_control_value, baseline_value)
    return {
        "goodput_of_bound": with_control.goodput_of_bound,
        "baseline_goodput_of_bound": baseline.goodput_of_bound,
        "recovery_s": with_control.recovery_s,
        "baseline_recovery_s": baseline.recovery_s,
        "top_rank_share": with_control.top_rank_share,
        "others_kept": with_control.others_kept,
        "attempts_mean": with_control.attempts_mean,
        "attempts_max": with_control.attempts_max,
        "over_bound": with_control.over_bound,
        "inversions": with_control.inversions,
        "wasted_share": with_control.wasted_share,
    }


def _run_baseline(seed: int) -> dict[str, object]:
    """Runs the baseline under steady load, without a flood."""
    result = flood.run_once(
        flood.Scene(flood.KYPARISSI, {}, unaffected_services=("library",)),
        "none",
        seed,
    )
    return {
        "goodput_of_bound": result.goodput_of_bound,
        "attempts_mean": result.attempts_mean,
        "others_kept": result.others_kept,
    }


def _print_row(name: str, value: object, baseline: object) -> None:
    print(f"{name:{_NAME_WIDTH}} {_format(value):>12} {_format(baseline):>12}")


def _format(value: object) -> str:
    return f"{value:.4f}" if isinstance(value, float) else str(value)
