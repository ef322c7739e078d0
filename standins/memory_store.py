"""In-memory metadata store over the platform model."""

from typing import Any

import expression
from twisted.internet import defer

from standins import platform_model
from trefoilpier import base, metadata

_STORE_DELAY_S = 0.002
_STORE_TIMEOUT_S = 3.0


class MemoryStore(metadata.Store):
    """Store that accesses a platform model after a network delay."""

    __slots__ = ("_clock", "_model")

    def __init__(
        self, *, clock: base.Clock, model: platform_model.PlatformModel
    ) -> None:
        self._clock = clock
        self._model = model

    def _resolve_later(
        self, value: Any, extra_delay_s: float = 0.0
    ) -> defer.Deferred:
        response: defer.Deferred = defer.Deferred()
        delay_s = extra_delay_s + _STORE_DELAY_S + self._model.faults.slow_s
        self._clock.call_later(delay_s, response.callback, value)
        return response

    def _outage_response(self) -> defer.Deferred | None:
        """Return an error response if the platform is down, else None."""
        if not self._model.faults.down:
            return None
        return self._resolve_later(_error(base.ResultCode.STORE_UNAVAILABLE))

    def _timeout_response(self) -> defer.Deferred:
        """Return the error of a lost answer, after the store timeout."""
        failure = _error(base.ResultCode.STORE_ANSWER_LOST)
        return self._resolve_later(failure, _STORE_TIMEOUT_S)

    def get(self, key: str) -> defer.Deferred:
        """Read a key."""
        outage = self._outage_response()
        if outage is not None:
            return outage
        return self._resolve_later(
            expression.Ok(_entry(key, self._model.get(key)))
        )

    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> defer.Deferred:
        """Write a key, or lose the write or its answer as the faults say.

        The write takes effect when it arrives at the store, not when it is
        sent.
        """
        outage = self._outage_response()
        if outage is not None:
            return outage
        faults = self._model.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            return self._timeout_response()
        answer_lost = faults.lose_answers > 0
        if answer_lost:
            faults.lose_answers -= 1
        response: defer.Deferred = defer.Deferred()

        def write() -> None:
            stored = self._model.put(key, value.decode(), expect, lease)
            result = _error(base.ResultCode.STORE_CONFLICT)
            delay = _STORE_DELAY_S / 2
            if answer_lost:
                result = _error(base.ResultCode.STORE_ANSWER_LOST)
                delay = _STORE_TIMEOUT_S
            elif stored is not None:
                result = expression.Ok(_entry(key, stored))
            self._clock.call_later(delay, response.callback, result)

        arrival_delay_s = _STORE_DELAY_S / 2 + faults.slow_s
        self._clock.call_later(arrival_delay_s, write)
        return response

    def watch(self, key: str, *, after: int, wait: float) -> defer.Deferred:
        """Wait up to ``wait`` s until a key's revision is not ``after``."""
        outage = self._outage_response()
        if outage is not None:
            return outage
        response: defer.Deferred = defer.Deferred()

        def reply(stored: platform_model.StoredValue) -> None:
            result = expression.Ok(_entry(key, stored))
            if self._model.faults.down:
                result = _error(base.ResultCode.STORE_UNAVAILABLE)
            self._clock.call_later(_STORE_DELAY_S, response.callback, result)

        self._model.watch(key, after, wait, reply)
        return response

    def grant_lease(self, *, ttl: float) -> defer.Deferred:
        """Grant a lease of ``ttl`` seconds."""
        outage = self._outage_response()
        if outage is not None:
            return outage
        return self._resolve_later(expression.Ok(self._model.grant_lease(ttl)))

    def members(self) -> defer.Deferred:
        """Read the membership list."""
        outage = self._outage_response()
        if outage is not None:
            return outage
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
        return self._resolve_later(expression.Ok(records))


def _entry(key: str, stored: platform_model.StoredValue) -> metadata.Entry:
    return metadata.Entry(
        key=key, value=stored.value.encode(), revision=stored.revision
    )


def _error(code: base.ResultCode) -> Any:
    return expression.Error(base.Failure(code=code))
