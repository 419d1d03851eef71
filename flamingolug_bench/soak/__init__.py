"""Randomized fault-injection soak against node processes.

`python -m flamingolug_bench soak --seed N --duration S` runs one seed,
`--seeds A-B` a series. The seed, the duration and the number of instances
determine the schedule of faults. Faults are injected from outside the nodes,
and invariants are checked on what callers, upstreams and the supervisor of the
nodes observe.

The nodes are run by `flamingolug.launcher`, with the adapter to the users'
platform: its metadata store, its configuration documents and the reports of its
upstreams are emulated. The other scenes run `flamingolug.node`.
"""

from flamingolug_bench.soak._run import DEFAULT_INSTANCES
from flamingolug_bench.soak._run import NODE_PROGRAM
from flamingolug_bench.soak._run import run
from flamingolug_bench.soak._run import run_series
from flamingolug_bench.soak._run import SoakOptions

__all__ = [
    "DEFAULT_INSTANCES",
    "NODE_PROGRAM",
    "SoakOptions",
    "run",
    "run_series",
]
