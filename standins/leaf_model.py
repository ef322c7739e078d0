"""Model of one leaf, independent of the transport.

The HTTP leaf server and the virtual-time benchmarks share this model, so that
slots, queueing, load shedding, cold start and faults are the same in both.
"""

import collections
import hashlib
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from trefoilpier import base

_HITS_PER_SHARD = 5
_SCORE_LIMIT = 1000  # Exclusive upper bound.


@dataclass(slots=True, kw_only=True)
class LeafSetup:
    """Settings of a simulated leaf.

    Attributes:
        id: Leaf id.
        shards: Shards that the leaf holds.
        epoch: Epoch of the partitioning that the shards belong to.
        versions: Index versions that the leaf serves.
        slots: Maximum number of calls that run concurrently.
        queue: Maximum number of queued calls; further ones are shed.
        connections: Maximum number of open connections.
        median_s: Median service time in seconds.
        sigma: Standard deviation of the logarithm of the service time,
            which is log-normal.
    """

    id: str
    shards: set[int]
    epoch: int = 1
    versions: list[int] = field(default_factory=lambda: [1])
    slots: int = 2
    queue: int = 4
    connections: int = 25
    median_s: float = 0.005
    sigma: float = 0.3


@dataclass(slots=True, kw_only=True)
class LeafFaults:
    """Injected faults.

    Attributes:
        slow_factor: Factor on every service time.
        straggle_share: Share of calls that become stragglers.
        straggle_factor: Factor on the service time of stragglers.
        shed_share: Share of calls that are shed regardless of load.
        fail_share: Share of calls that run and fail.
        drain: Whether the leaf rejects new calls and reports that it drains.
        load: Load to report instead of the actual one, or None.
        load_lag_s: Age in seconds of the reported load.
        mute_calls: Whether a connection is muted when a call arrives on it.
        lose_answers: Share of calls whose connection is aborted after the run,
            before the reply is sent.
        twice: Whether each reply is sent twice.
        wrong_shard: Whether the next shard is searched instead of the
            requested one, and named in the reply.
        cold_s: Seconds of slower service after a restart.
        cold_factor: Factor on the service time during `cold_s`.
    """

    slow_factor: float = 1.0
    straggle_share: float = 0.0
    straggle_factor: float = 20.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    drain: bool = False
    load: float | None = None
    load_lag_s: float = 0.0
    mute_calls: bool = False
    lose_answers: float = 0.0
    twice: bool = False
    wrong_shard: bool = False
    cold_s: float = 0.0
    cold_factor: float = 5.0


@dataclass(slots=True, kw_only=True)
class Run:
    """Ledger record of one executed call."""

    call_id: str
    key: str
    service: str
    shard: int
    version: int
    at: float


class _Job:
    """A queued or running call."""

    __slots__ = ("call", "deadline", "reply", "timer")

    def __init__(
        self,
        *,
        call: dict[str, Any],
        deadline: float,
        reply: Callable[[dict[str, Any]], None],
    ) -> None:
        self.call = call
        self.deadline = deadline
        self.reply = reply
        self.timer: base.Timer | None = None


class LeafModel:
    """Leaf with slots, a bounded queue, index versions, faults and a ledger.

    Attributes:
        setup: Settings of the leaf.
        faults: Injected faults.
        ledger: Executed calls, oldest first.
        count_by_status: Number of replies by status.
        on_run: Called with each run, before its reply.
    """

    __slots__ = (
        "_clock",
        "_job_by_id",
        "_load_history",
        "_queued_jobs",
        "_rng",
        "_running_count",
        "_started_at",
        "count_by_status",
        "faults",
        "ledger",
        "on_run",
        "setup",
    )

    def __init__(
        self, *, setup: LeafSetup, clock: base.Clock, rng: random.Random
    ) -> None:
        self.setup = setup
        self.faults = LeafFaults()
        self.ledger: collections.deque[Run] = collections.deque(maxlen=200_000)
        self.count_by_status: dict[str, int] = {}
        self.on_run: Callable[[Run], None] = lambda run: None
        self._clock = clock
        self._rng = rng
        self._running_count = 0
        self._queued_jobs: collections.deque[_Job] = collections.deque()
        self._job_by_id: dict[str, _Job] = {}
        self._load_history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._started_at = clock.monotonic()

    def report(self) -> dict[str, Any]:
        """Return the state that the leaf reports about itself."""
        load = self.faults.load
        if load is None:
            load = self._lagged_load()
        return {
            "versions": self.setup.versions,
            "epoch": self.setup.epoch,
            "shards": sorted(self.setup.shards),
            "load": load,
            "draining": self.faults.drain,
        }

    def _lagged_load(self) -> float:
        """Return the load of ``load_lag_s`` seconds ago."""
        now = self._clock.monotonic()
        pending_count = self._running_count + len(self._queued_jobs)
        load = min(1.0, pending_count / (self.setup.slots + self.setup.queue))
        history = self._load_history
        history.append((now, load))
        while len(history) > 1 and history[1][0] <= (
            now - self.faults.load_lag_s
        ):
            history.popleft()
        return history[0][1]

    def call(
        self, call: dict[str, Any], reply: Callable[[dict[str, Any]], None]
    ) -> None:
        """Start, queue or reject a call; ``reply`` is called with the reply."""
        rejection = self._rejection_status(call)
        if rejection is not None:
            self._reply(call, reply, rejection, None)
            return
        deadline = self._clock.monotonic() + call["deadline_ms"] / 1000
        job = _Job(call=call, deadline=deadline, reply=reply)
        self._job_by_id[call["id"]] = job
        if self._running_count < self.setup.slots:
            self._start(job)
            return
        self._queued_jobs.append(job)

    def cancel(self, call_id: str) -> None:
        """Cancel a call; the slot of a running one becomes free."""
        job = self._job_by_id.pop(call_id, None)
        if job is None:
            return
        if job.timer is None:
            self._queued_jobs.remove(job)
        else:
            job.timer.cancel()
            self._running_count -= 1
        self._reply(job.call, job.reply, "cancelled", None)
        self._start_queued()

    def _rejection_status(self, call: dict[str, Any]) -> str | None:
        """Return the status with which a call is rejected, or None."""
        setup = self.setup
        if self.faults.drain:
            return "draining"
        if call["shard"] not in setup.shards or call["epoch"] != setup.epoch:
            return "not_mine"
        if call["version"] not in setup.versions:
            return "version_gone"
        if self._rng.random() < self.faults.shed_share:
            return "shed"
        full = (
            self._running_count >= setup.slots
            and len(self._queued_jobs) >= setup.queue
        )
        return "shed" if full else None

    def _start(self, job: _Job) -> None:
        """Start a call, unless its deadline has passed."""
        if job.deadline <= self._clock.monotonic():
            self._job_by_id.pop(job.call["id"], None)
            self._reply(job.call, job.reply, "expired", None)
            return
        self._running_count += 1
        job.timer = self._clock.call_later(
            self._service_time(), self._finish, job
        )

    def _service_time(self) -> float:
        setup, faults = self.setup, self.faults
        seconds = self._rng.lognormvariate(
            math.log(setup.median_s), setup.sigma
        )
        seconds *= faults.slow_factor
        if self._rng.random() < faults.straggle_share:
            seconds *= faults.straggle_factor
        if self._clock.monotonic() - self._started_at < faults.cold_s:
            seconds *= faults.cold_factor
        return seconds

    def restart(self) -> None:
        """Restart the cold period."""
        self._started_at = self._clock.monotonic()

    def _finish(self, job: _Job) -> None:
        """Record a completed run, reply and start queued calls."""
        self._running_count -= 1
        call = job.call
        self._job_by_id.pop(call["id"], None)
        run = Run(
            call_id=call["id"],
            key=call["key"],
            service=call["service"],
            shard=call["shard"],
            version=call["version"],
            at=self._clock.monotonic(),
        )
        self.ledger.append(run)
        self.on_run(run)
        if self._rng.random() < self.faults.fail_share:
            self._reply(call, job.reply, "failed", None)
        else:
            executed_call = dict(call)
            if self.faults.wrong_shard:
                executed_call["shard"] += 1
            self._reply(call, job.reply, "ok", make_result(executed_call))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queued_jobs and self._running_count < self.setup.slots:
            self._start(self._queued_jobs.popleft())

    def _reply(
        self,
        call: dict[str, Any],
        reply: Callable[[dict[str, Any]], None],
        status: str,
        result: Any,
    ) -> None:
        counts = self.count_by_status
        counts[status] = counts.get(status, 0) + 1
        shard = call["shard"] + 1 if self.faults.wrong_shard else call["shard"]
        reply(
            {
                "id": call["id"],
                "status": status,
                "shard": shard,
                "epoch": self.setup.epoch,
                "version": call["version"],
                "result": result,
                "retry_after_ms": 10 if status == "shed" else 0,
                "leaf": self.report(),
            }
        )


def make_result(call: dict[str, Any]) -> Any:
    """Return the result of a call.

    A call that is not repeatable gives a receipt, the query
    ``{"count": true}`` a number, and any other query a list of hits that
    depends only on epoch, shard, version and text.
    """
    query = call["query"]
    if not call["repeatable"]:
        return {"receipt": call["id"], "version": call["version"]}
    if isinstance(query, dict) and query.get("count"):
        return call["shard"] + 1
    seed_text = f"{call['shard']}|{call['epoch']}|{query.get('text', '')}"
    hash_bytes = hashlib.blake2b(seed_text.encode(), digest_size=16).digest()
    return [
        {
            "id": f"item-{call['shard']}-{index}",
            "score": int.from_bytes(hash_bytes[index : index + 2], "big")
            % _SCORE_LIMIT,
            "version": call["version"],
        }
        for index in range(_HITS_PER_SHARD)
    ]
