"""The platform's model behind the store interface, without sockets."""

from typing import Any

import expression
from twisted.internet import defer

from standins import platform_model
from trefoilpier import base, metadata

_STORE_DELAY_S = 0.002
_STORE_TIMEOUT_S = 3.0


class MemoryStore(metadata.Store):
    """A `platform_model.PlatformModel` after the delay of the network."""

    __slots__ = ("_clock", "_model")

    def __init__(
        self, *, clock: base.Clock, model: platform_model.PlatformModel
    ) -> None:
        self._clock = clock
        self._model = model

    def _later(self, value: Any, delay: float = 0.0) -> defer.Deferred:
        waiting: defer.Deferred = defer.Deferred()
        total = delay + _STORE_DELAY_S + self._model.faults.slow_s
        self._clock.call_later(total, waiting.callback, value)
        return waiting

    def _down(self) -> defer.Deferred | None:
        """Returns the failure of an outage, or None."""
        if not self._model.faults.down:
            return None
        return self._later(_error(base.ResultCode.STORE_UNAVAILABLE))

    def _lost(self) -> defer.Deferred:
        failure = _error(base.ResultCode.STORE_ANSWER_LOST)
        return self._later(failure, _STORE_TIMEOUT_S)

    def get(self, key: str) -> defer.Deferred:
        """Reads a key."""
        down = self._down()
        if down is not None:
            return down
        return self._later(expression.Ok(_entry(key, self._model.get(key))))

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> defer.Deferred:
        """Writes a key, or loses the write or its answer.

        The write takes effect on its way, not when it is sent.
        """
        down = self._down()
        if down is not None:
            return down
        faults = self._model.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            return self._lost()
        lost = faults.lose_answers > 0
        if lost:
            faults.lose_answers -= 1
        waiting: defer.Deferred = defer.Deferred()

        def write() -> None:
            stored = self._model.put(key, value.decode(), expect, lease)
            result = _error(base.ResultCode.STORE_CONFLICT)
            delay = _STORE_DELAY_S / 2
            if lost:
                result = _error(base.ResultCode.STORE_ANSWER_LOST)
                delay = _STORE_TIMEOUT_S
            elif stored is not None:
                result = expression.Ok(_entry(key, stored))
            self._clock.call_later(delay, waiting.callback, result)

        arrival = _STORE_DELAY_S / 2 + faults.slow_s
        self._clock.call_later(arrival, write)
        return waiting

    def watch(self, key: str, *, after: int, wait: float) -> defer.Deferred:
        """Waits for a newer revision."""
        down = self._down()
        if down is not None:
            return down
        waiting: defer.Deferred = defer.Deferred()

        def reply(stored: platform_model.StoredValue) -> None:
            result = expression.Ok(_entry(key, stored))
            if self._model.faults.down:
                result = _error(base.ResultCode.STORE_UNAVAILABLE)
            self._clock.call_later(_STORE_DELAY_S, waiting.callback, result)

        self._model.watch(key, after, wait, reply)
        return waiting

    def grant_lease(self, *, ttl: float) -> defer.Deferred:
        """Makes a lease."""
        down = self._down()
        if down is not None:
            return down
        return self._later(expression.Ok(self._model.grant(ttl)))

    def members(self) -> defer.Deferred:
        """Reads the membership list."""
        down = self._down()
        if down is not None:
            return down
        records = [
            metadata.VmRecord(
                id=row["id"],
                host=row["host"],
                port=row["port"],
                region=row["region"],
                zone=row["zone"],
                state=metadata.VmState(row["state"]),
                role=row["role"],
            )
            for row in self._model.members()
        ]
        return self._later(expression.Ok(records))


def _entry(key: str, stored: platform_model.StoredValue) -> metadata.Entry:
    return metadata.Entry(
        key=key, value=stored.value.encode(), revision=stored.revision
    )


def _error(code: base.ResultCode) -> Any:
    return expression.Error(base.Failure(code=code))
