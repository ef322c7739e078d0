"""Experiment on a whole fleet: relays, peers, store, starts and losses."""

import pathlib
import tempfile
from collections.abc import Callable
from dataclasses import dataclass

import numpy

from standins import memory_fleet
from trefoilpier import base

_START_WAIT_S = 3.0  # Until all VMs are ready before the first phase.
_STORE_OUTAGE_S = 0.6
_COPY_AGE_S = 2.0  # Of the copy from which the store is restored.


@dataclass(slots=True, kw_only=True, frozen=True)
class PhaseFigures:
    """Figures of one phase.

    Attributes:
        name: Name of the phase.
        requests: Requests of callers.
        whole: Share of them that were answered with all shards.
        refused: Share of them that were refused.
        first_whole_s: Seconds from the start of the phase to the sending of
            the first request that was answered whole.
        p50_ms: Median latency of the answers with success, in milliseconds.
        p99_ms: 99th percentile of the same.
        store_calls: Reads, watches and writes at the store, without renewals
            of leases.
    """

    name: str
    requests: int
    whole: float
    refused: float
    first_whole_s: float
    p50_ms: float
    p99_ms: float
    store_calls: int


class FleetExperiment:
    """A fleet that is calm, loses all VMs, and gets an older store.

    Attributes:
        figures: Figures of the phases so far.
        fleet: The fleet.
    """

    __slots__ = ("_rate", "_seconds", "figures", "fleet")

    def __init__(
        self,
        *,
        sizes: memory_fleet.FleetSizes,
        directory: pathlib.Path,
        rate: float,
        seconds: float,
        seed: int,
    ) -> None:
        """Create a fleet that does not run.

        Args:
            sizes: Sizes of the fleet.
            directory: Directory of the VMs' settings files.
            rate: Requests a second.
            seconds: Length of each phase.
            seed: Seed of everything random.
        """
        self._rate = rate
        self._seconds = seconds
        self.figures: list[PhaseFigures] = []
        self.fleet = memory_fleet.MemoryFleet(
            directory=directory,
            log=base.NullEventLog(),
            sizes=sizes,
            seed=seed,
        )

    def run(self) -> None:
        """Run all phases."""
        self.fleet.start_all()
        self.fleet.clock.advance(_START_WAIT_S)
        self._play("calm", lambda: None)
        self._play("all VMs lost", self._lose_all)
        self._play("store restored", self._restore_store)

    def _lose_all(self) -> None:
        self.fleet.kill_all()
        self.fleet.start_all()

    def _restore_store(self) -> None:
        saved = self.fleet.model.copy()
        self.fleet.write_routes()
        self.fleet.clock.advance(_COPY_AGE_S)
        self.fleet.restore_store(saved, _STORE_OUTAGE_S)

    def _play(self, name: str, begin: Callable[[], None]) -> None:
        calls_before = self._store_calls()
        begin()
        started_at = self.fleet.clock.monotonic()
        answers = self.fleet.run_load(seconds=self._seconds, rate=self._rate)
        whole = [each for each in answers if each.whole]
        latencies_ms = [
            1000 * each.took_s for each in answers if each.status == 200
        ] or [0.0]
        refused = sum(each.status == 503 for each in answers)
        self.figures.append(
            PhaseFigures(
                name=name,
                requests=len(answers),
                whole=len(whole) / max(1, len(answers)),
                refused=refused / max(1, len(answers)),
                first_whole_s=min(
                    (each.sent_at - started_at for each in whole),
                    default=float("inf"),
                ),
                p50_ms=float(numpy.percentile(latencies_ms, 50)),
                p99_ms=float(numpy.percentile(latencies_ms, 99)),
                store_calls=self._store_calls() - calls_before,
            )
        )

    def _store_calls(self) -> int:
        counts = self.fleet.model.counts
        return counts.reads + counts.watches + counts.writes


def run_experiment(
    sizes: memory_fleet.FleetSizes, *, rate: float, seconds: float, seed: int
) -> list[PhaseFigures]:
    """Run the experiment and return the figures of its phases.

    Args:
        sizes: Sizes of the fleet.
        rate: Requests a second.
        seconds: Length of each phase.
        seed: Seed of everything random.
    """
    with tempfile.TemporaryDirectory() as directory:
        experiment = FleetExperiment(
            sizes=sizes,
            directory=pathlib.Path(directory),
            rate=rate,
            seconds=seconds,
            seed=seed,
        )
        experiment.run()
        return experiment.figures


def table(figures: list[PhaseFigures]) -> str:
    """Return a table with a line a phase."""
    lines = [
        f"{'phase':<16} {'requests':>8} {'whole':>7} {'refused':>8} "
        f"{'first s':>8} {'p50 ms':>7} {'p99 ms':>7} {'store calls':>12}"
    ]
    lines += [
        f"{each.name:<16} {each.requests:8} {each.whole:7.4f} "
        f"{each.refused:8.4f} {each.first_whole_s:8.2f} {each.p50_ms:7.1f} "
        f"{each.p99_ms:7.1f} {each.store_calls:12}"
        for each in figures
    ]
    return "\n".join(lines)
