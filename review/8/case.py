"""The store turns the node away after its upstream has left."""

import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import departures_2
import standins_2

if __name__ == "__main__":
    sys.exit(
        standins_2.run_case(
            pathlib.Path(__file__).resolve().parent,
            functools.partial(departures_2.play, busy_at_notice=False),
        )
    )
