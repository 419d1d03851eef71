"""Runs load processes against a deployment and collects their records."""

import time

import msgspec

from flamingolug import errors
from flamingolug_bench import deployment
from flamingolug_bench import load

#: Seconds between the start of the load processes and that of the schedule.
LEAD_TIME_S = 1.0
#: `finish` waits at most four times this for one load process, seconds. The
#: wait begins while the process may still be sending requests.
_FINISH_WAIT_S = 30.0


class LoadRun:
    """Load processes that run against a deployment."""

    def __init__(
        self,
        running: deployment.Deployment,
        streams: list[load.Stream],
        seed: int,
        processes: int = 1,
        addresses: list[str] | None = None,
    ) -> None:
        """Starts the processes; the schedule begins after `LEAD_TIME_S`.

        Args:
            running: the deployment.
            streams: the requests, distributed over the processes by stream.
            seed: seed of the first process; each further one adds 1.
            processes: number of load processes.
            addresses: where requests are sent (host:port), None for the HTTP
                addresses of all nodes.
        """
        self._running = running
        self.begin_at = time.time() + LEAD_TIME_S
        target_addresses = addresses or [each.http for each in running.nodes]
        self._names: list[str] = []
        for index in range(processes):
            self._start(
                index, streams[index::processes], target_addresses, seed
            )

    def sleep_until(self, at_s: float) -> None:
        """Sleeps until `at_s` seconds from the start of the schedule."""
        time.sleep(max(self.begin_at + at_s - time.time(), 0.0))

    def finish(self) -> list[load.Record]:
        """Waits until the load processes end and returns all records.

        Raises:
            FlamingolugError: a load process failed.
            subprocess.TimeoutExpired: a load process did not end in time.
        """
        records: list[load.Record] = []
        for name in self._names:
            exit_code = self._running.processes[name].wait(_FINISH_WAIT_S * 4)
            if exit_code != 0:
                log_path = self._running.directory / f"{name}.log"
                raise errors.FlamingolugError(
                    log_path.read_text()[-2000:], step="bench.load", peer=name
                )
            data = (self._running.directory / f"{name}.out").read_bytes()
            records.extend(msgspec.json.decode(data, type=list[load.Record]))
        return records

    def _start(
        self,
        index: int,
        streams: list[load.Stream],
        addresses: list[str],
        seed: int,
    ) -> None:
        if not streams:
            return
        name = f"load-{len(self._running.processes)}"
        plan = load.LoadPlan(addresses, streams, self.begin_at, seed + index)
        directory = self._running.directory
        (directory / f"{name}.json").write_bytes(msgspec.json.encode(plan))
        self._names.append(name)
        self._running.start(
            name,
            "flamingolug_bench.load",
            str(directory / f"{name}.json"),
            str(directory / f"{name}.out"),
        )
