"""Randomized fault soak: nodes as processes, faults from outside them.

`python -m flamingolug_bench soak --seed N --duration S` plays one seed, or
`--seeds A-B` a series. The schedule follows from the seed alone. Promises are
judged by what callers, backend servers and the operator see.
"""

from flamingolug_bench.soak._run import DEFAULT_INSTANCES
from flamingolug_bench.soak._run import Plan
from flamingolug_bench.soak._run import PROGRAM
from flamingolug_bench.soak._run import run
from flamingolug_bench.soak._run import run_series

__all__ = ["DEFAULT_INSTANCES", "PROGRAM", "Plan", "run", "run_series"]
