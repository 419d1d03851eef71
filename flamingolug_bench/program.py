"""Program `flamingolug-bench`: runs one experiment on real processes."""

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

_WIDTH = 22


def main() -> None:
    """Entry point: `flamingolug-bench SCENE [--seed N] [--duration S]`."""
    parser = argparse.ArgumentParser(prog="flamingolug-bench")
    parser.add_argument("scene")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=0.0)
    parser.add_argument("--nodes", type=int, default=0)
    parser.add_argument("--seeds", default="", help="A-B, for soak")
    parser.add_argument("--variant", default="", help="known fault, for soak")
    args = parser.parse_args()
    # A bench that is told to stop ends what it has started.
    signal.signal(signal.SIGTERM, _interrupt)
    scenes = _scenes()
    if args.scene not in scenes:
        print("scenes:", " ".join(sorted(scenes)))
        return
    began = time.monotonic()
    if args.scene == "soak":
        values = _soak(args)
    else:
        values = scenes[args.scene](args.seed, args.duration)
    pairs = " ".join(f"{key}={_text(each)}" for key, each in values.items())
    print(f"took {time.monotonic() - began:.0f} s")
    print(f"result scene={args.scene} seed={args.seed} {pairs}")


def _interrupt(number: int, frame: object) -> None:
    del number, frame
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


def _scenes() -> dict[str, Any]:
    """Returns a function for each scene by name."""
    scenes: dict[str, Any] = {
        "overhead": overhead.run,
        "config-spread": control.run_spread,
        "control-cost": control.run_cost,
        "demo": demo.run,
        "faults": faults.run,
        "join": control.run_join,
        "rolling": rolling.run,
        "soak": lambda seed, duration: soak.run(seed, soak.Plan(duration)),
    }
    for name in flood.SCENES:
        scenes[name] = lambda seed, duration, name=name: _flood(name, seed)
    scenes["baseline"] = lambda seed, duration: _baseline(seed)
    return scenes


def _soak(args: argparse.Namespace) -> dict[str, object]:
    """Plays one seed of the soak, or a series."""
    program: tuple[str, ...] = soak.PROGRAM
    if args.variant:
        program = ("flamingolug_bench.soak.variants", args.variant)
    plan = soak.Plan(
        args.duration, args.nodes or soak.DEFAULT_INSTANCES, program
    )
    if not args.seeds:
        return soak.run(args.seed, plan)
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    return soak.run_series(seeds, plan)


def _flood(name: str, seed: int) -> dict[str, object]:
    """Runs control and baseline of a scene and prints both."""
    scene = flood.SCENES[name]
    control = flood.run_side(scene, "full", seed)
    baseline = flood.run_side(scene, "none", seed)
    print(f"{'':{_WIDTH}} {'control':>12} {'baseline':>12}")
    for field in flood.SideResult._fields:
        left, right = getattr(control, field), getattr(baseline, field)
        if isinstance(left, dict):
            for key in sorted(left.keys() | right.keys()):
                _row(f"{field} {key}", left.get(key, 0), right.get(key, 0))
            continue
        _row(field, left, right)
    return {
        "goodput_of_bound": control.goodput_of_bound,
        "baseline_goodput_of_bound": baseline.goodput_of_bound,
        "recovery_s": control.recovery_s,
        "baseline_recovery_s": baseline.recovery_s,
        "top_rank_share": control.top_rank_share,
        "others_kept": control.others_kept,
        "attempts_mean": control.attempts_mean,
        "attempts_max": control.attempts_max,
        "over_bound": control.over_bound,
        "inversions": control.inversions,
        "wasted_share": control.wasted_share,
    }


def _baseline(seed: int) -> dict[str, object]:
    """Runs the baseline alone, without a flood."""
    side = flood.run_side(
        flood.Scene(flood.KYPARISSI, {}, untouched=("library",)), "none", seed
    )
    return {
        "goodput_of_bound": side.goodput_of_bound,
        "attempts_mean": side.attempts_mean,
        "others_kept": side.others_kept,
    }


def _row(name: str, left: object, right: object) -> None:
    print(f"{name:{_WIDTH}} {_text(left):>12} {_text(right):>12}")


def _text(value: object) -> str:
    return f"{value:.4f}" if isinstance(value, float) else str(value)
