"""The behaviour of one leaf, without a network.

The HTTP stand-in and the virtual-time benchmarks share this model, so that
both show the same slots, queue, shedding, cold start and faults.
"""

import collections
import hashlib
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from trefoilpier import base

_HITS = 5
_SCORES = 1000


@dataclass(slots=True, kw_only=True)
class LeafSetup:
    """What a leaf is.

    Attributes:
        id: Name of the leaf.
        shards: Shards that it holds.
        epoch: Partitioning that it holds.
        versions: Index versions that it serves.
        slots: Calls that it runs at a time.
        queue: Calls that it lets wait before it sheds.
        connections: Connections that it accepts.
        median_s: Median service time.
        sigma: Spread of the log-normal service time.
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
    """Faults that are switched on.

    Attributes:
        slow_factor: Multiplies every service time.
        straggle_share: Share of calls that straggle at random.
        straggle_factor: Multiplies the service time of those.
        shed_share: Share of calls that are shed at random.
        fail_share: Share of calls that run and fail.
        drain: Whether it asks for no new work.
        load: What it reports instead of its load, or None.
        load_lag_s: Seconds by which the reported load lags.
        mute_calls: Whether connections go silent when a call comes.
        lose_answers: Share of calls whose connection closes after the run.
        twice: Whether an answer is sent a second time.
        wrong_shard: Whether it searches another shard, and says so.
        cold_s: Seconds after a restart with slow answers.
        cold_factor: Multiplies the service time while cold.
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
    """One line of the ledger: a call that ran."""

    call_id: str
    key: str
    service: str
    shard: int
    version: int
    at: float


class _Job:
    """A call that waits or runs."""

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
    """Slots, a short queue, index versions, faults and a ledger.

    Attributes:
        setup: What the leaf is.
        faults: Faults that are on.
        ledger: Calls that ran, oldest first.
        count_by_status: Answers by status.
        on_run: Called with each run, before its answer.
    """

    __slots__ = (
        "_clock",
        "_job_by_id",
        "_load_history",
        "_queue",
        "_random",
        "_running",
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
        self._random = rng
        self._running = 0
        self._queue: collections.deque[_Job] = collections.deque()
        self._job_by_id: dict[str, _Job] = {}
        self._load_history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._started_at = clock.monotonic()

    def report(self) -> dict[str, Any]:
        """Returns what the leaf says of itself."""
        load = self.faults.load
        if load is None:
            load = self._lagging_load()
        return {
            "versions": self.setup.versions,
            "epoch": self.setup.epoch,
            "shards": sorted(self.setup.shards),
            "load": load,
            "draining": self.faults.drain,
        }

    def _lagging_load(self) -> float:
        """Returns the load as it was before the lag."""
        now = self._clock.monotonic()
        busy = self._running + len(self._queue)
        load = min(1.0, busy / (self.setup.slots + self.setup.queue))
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
        """Takes in a call; ``reply`` gets its answer later."""
        refusal = self._refusal(call)
        if refusal is not None:
            self._answer(call, reply, refusal, None)
            return
        deadline = self._clock.monotonic() + call["deadline_ms"] / 1000
        job = _Job(call=call, deadline=deadline, reply=reply)
        self._job_by_id[call["id"]] = job
        if self._running < self.setup.slots:
            self._run(job)
            return
        self._queue.append(job)

    def cancel(self, call_id: str) -> None:
        """Withdraws a call; a running one frees its slot."""
        job = self._job_by_id.pop(call_id, None)
        if job is None:
            return
        if job.timer is None:
            self._queue.remove(job)
        else:
            job.timer.cancel()
            self._running -= 1
        self._answer(job.call, job.reply, "cancelled", None)
        self._next()

    def _refusal(self, call: dict[str, Any]) -> str | None:
        """Returns the status of a call that is not taken in."""
        setup = self.setup
        if self.faults.drain:
            return "draining"
        if call["shard"] not in setup.shards or call["epoch"] != setup.epoch:
            return "not_mine"
        if call["version"] not in setup.versions:
            return "version_gone"
        if self._random.random() < self.faults.shed_share:
            return "shed"
        full = self._running >= setup.slots and len(self._queue) >= setup.queue
        return "shed" if full else None

    def _run(self, job: _Job) -> None:
        """Starts a call, unless its deadline has passed."""
        if job.deadline <= self._clock.monotonic():
            self._job_by_id.pop(job.call["id"], None)
            self._answer(job.call, job.reply, "expired", None)
            return
        self._running += 1
        job.timer = self._clock.call_later(
            self._service_time(), self._finish, job
        )

    def _service_time(self) -> float:
        setup, faults = self.setup, self.faults
        seconds = self._random.lognormvariate(
            math.log(setup.median_s), setup.sigma
        )
        seconds *= faults.slow_factor
        if self._random.random() < faults.straggle_share:
            seconds *= faults.straggle_factor
        if self._clock.monotonic() - self._started_at < faults.cold_s:
            seconds *= faults.cold_factor
        return seconds

    def restart(self) -> None:
        """Begins the cold time again."""
        self._started_at = self._clock.monotonic()

    def _finish(self, job: _Job) -> None:
        """Ends a call that ran."""
        self._running -= 1
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
        if self._random.random() < self.faults.fail_share:
            self._answer(call, job.reply, "failed", None)
        else:
            asked = dict(call)
            if self.faults.wrong_shard:
                asked["shard"] += 1
            self._answer(call, job.reply, "ok", make_result(asked))
        self._next()

    def _next(self) -> None:
        while self._queue and self._running < self.setup.slots:
            self._run(self._queue.popleft())

    def _answer(
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
    """Makes the result of a call; it follows from epoch, shard and text.

    A query ``{"count": true}`` gives a number, a call that may not be
    repeated gives a receipt, and anything else a list of hits.
    """
    query = call["query"]
    if not call["repeatable"]:
        return {"receipt": call["id"], "version": call["version"]}
    if isinstance(query, dict) and query.get("count"):
        return call["shard"] + 1
    text = f"{call['shard']}|{call['epoch']}|{query.get('text', '')}"
    seed = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return [
        {
            "id": f"item-{call['shard']}-{index}",
            "score": int.from_bytes(seed[index : index + 2], "big") % _SCORES,
            "version": call["version"],
        }
        for index in range(_HITS)
    ]
