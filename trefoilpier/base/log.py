"""Structured logging with loguru, one line per event."""

import sys
from typing import Any, TextIO

import orjson
import twisted.logger

from trefoilpier.base import events

_LEVEL_NUMBERS = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}


def _format_json_line(message: Any) -> str:
    """Format a loguru message as one line of JSON."""
    record = message.record
    entry = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["extra"].get("event", ""),
        "message": record["message"],
    }
    entry.update(record["extra"].get("fields", {}))
    return orjson.dumps(entry, default=str).decode()


def _format_human_line(message: Any) -> str:
    """Format a loguru message as one human-readable line."""
    record = message.record
    extra = record["extra"]
    fields = extra.get("fields", {})
    field_text = " ".join(f"{name}={value}" for name, value in fields.items())
    timestamp = record["time"].strftime("%H:%M:%S.%f")[:-3]
    level = record["level"].name
    event = extra.get("event", "")
    return (
        f"{timestamp} {level:<7} {event} {record['message']} {field_text}"
    ).rstrip()


def configure_logging(
    *, style: str, level: str, stream: TextIO | None = None
) -> None:
    """Replace loguru's sinks with a single stream.

    Args:
        style: ``"json"`` or ``"human"``.
        level: The minimum loguru level to write.
        stream: The output stream; standard error by default.
    """
    import loguru  # noqa: PLC0415

    output = stream or sys.stderr
    format_line = _format_json_line if style == "json" else _format_human_line

    def write(message: Any) -> None:
        output.write(format_line(message) + "\n")
        output.flush()

    loguru.logger.remove()
    loguru.logger.add(write, level=level, format="{message}", catch=True)


def observe_twisted(log: events.EventLog) -> None:
    """Log the errors that Twisted reports as ``UNHANDLED`` events."""

    def report_failure(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            log.emit(
                events.Event.UNHANDLED,
                problem=failure.getErrorMessage(),
                trace=failure.getTraceback(),
            )

    twisted.logger.globalLogBeginner.beginLoggingTo(
        [report_failure], redirectStandardIO=False
    )


class LoguruEventLog(events.EventLog):
    """An event log that writes through loguru."""

    __slots__ = ("_min_level", "_logger")

    def __init__(self, *, level: str = "INFO") -> None:
        self._min_level = _LEVEL_NUMBERS[level]
        # Imported here because trefoilpier.tier has its own log writer and
        # starts faster without loading loguru.
        import loguru  # noqa: PLC0415

        self._logger = loguru.logger

    def emit(self, event: events.Event, **fields: Any) -> None:
        """Write one line if the event's level is at least the minimum."""
        if _LEVEL_NUMBERS[event.level] < self._min_level:
            return
        bound_logger = self._logger.bind(event=event.number, fields=fields)
        bound_logger.log(event.level, event.title)
