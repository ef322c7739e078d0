"""Structured logs by loguru: one line for each event."""

import sys
from typing import Any, TextIO

import orjson
import twisted.logger

from trefoilpier.base import events

_LEVEL_NUMBERS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}


def _json_line(message: Any) -> str:
    """Renders a loguru message as one JSON line."""
    record = message.record
    row = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["extra"].get("event", ""),
        "message": record["message"],
    }
    row.update(record["extra"].get("fields", {}))
    return orjson.dumps(row, default=str).decode()


def _human_line(message: Any) -> str:
    """Renders a loguru message for a person."""
    record = message.record
    extra = record["extra"]
    fields = extra.get("fields", {})
    tail = " ".join(f"{name}={value}" for name, value in fields.items())
    stamp = record["time"].strftime("%H:%M:%S.%f")[:-3]
    level = record["level"].name
    event = extra.get("event", "")
    return f"{stamp} {level:<7} {event} {record['message']} {tail}".rstrip()


def configure_logging(
    *, style: str, level: str, stream: TextIO | None = None
) -> None:
    """Replaces loguru's sinks by one stream.

    Args:
        style: ``"json"`` or ``"human"``.
        level: The lowest loguru level that is written.
        stream: Where lines go; standard error by default.
    """
    import loguru  # noqa: PLC0415

    out = stream or sys.stderr
    render = _json_line if style == "json" else _human_line

    def write(message: Any) -> None:
        out.write(render(message) + "\n")
        out.flush()

    loguru.logger.remove()
    loguru.logger.add(write, level=level, format="{message}", catch=True)


def observe_twisted(log: events.EventLog) -> None:
    """Sends Twisted's own errors to the event log."""

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            log.emit(
                events.Event.UNHANDLED,
                problem=failure.getErrorMessage(),
                trace=failure.getTraceback(),
            )

    twisted.logger.globalLogBeginner.beginLoggingTo(
        [observe], redirectStandardIO=False
    )


class LoguruEventLog(events.EventLog):
    """Writes events by loguru."""

    __slots__ = ("_least", "_logger")

    def __init__(self, *, level: str = "INFO") -> None:
        self._least = _LEVEL_NUMBERS[level]
        # A VM of the tier writes its lines itself and starts sooner without.
        import loguru  # noqa: PLC0415

        self._logger = loguru.logger

    def emit(self, event: events.Event, **fields: Any) -> None:
        """Writes one line, unless its level is below the set one."""
        if _LEVEL_NUMBERS[event.level] < self._least:
            return
        bound = self._logger.bind(event=event.number, fields=fields)
        bound.log(event.level, event.title)
