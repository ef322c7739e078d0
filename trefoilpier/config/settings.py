"""The settings file of one entry VM daemon."""

import configparser
import datetime
import ipaddress
import pathlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import expression

from trefoilpier.config import build, findings

_PORT_MAX = 65535
_KEY_CHARACTERS_MIN = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """Every setting of a daemon.

    Attributes:
        node_id: Unique name of this entry VM.
        host: IP number that all ports listen on.
        region: Region of this VM.
        zone: Availability zone of this VM.
        caller_port: Port for callers.
        caller_body_max: Largest request body, in bytes.
        caller_connections_max: Open caller connections.
        caller_idle: Idle time after which a caller connection is closed.
        peer_port: TCP and UDP port for other entry VMs.
        peer_key: Shared secret of the entry VMs.
        peer_seeds: Addresses of peers to join by when the platform's list
            cannot be read.
        platform_host: IP number of the platform's service.
        platform_port: Port of the platform's service.
        queries_max: Queries in flight.
        drain_lag: Time that listening goes on after readiness turned
            negative, for the balancer.
        log_style: ``json`` or ``human``.
        log_level: Lowest level that is written.
    """

    node_id: str
    host: str
    region: str
    zone: str
    caller_port: int
    caller_body_max: int
    caller_connections_max: int
    caller_idle: datetime.timedelta
    peer_port: int
    peer_key: bytes
    peer_seeds: tuple[tuple[str, int], ...]
    platform_host: str
    platform_port: int
    queries_max: int
    drain_lag: datetime.timedelta
    log_style: str
    log_level: str


@dataclass(slots=True, kw_only=True, frozen=True)
class _Key:
    """One setting: where it stands and how it is read."""

    section: str
    name: str
    allowed: str
    read: Callable[[str], Any]
    default: str | None = None


def _read_word(text: str) -> str:
    if not text or any(c.isspace() for c in text):
        raise ValueError(text)
    return text


def _read_host(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _read_port(text: str) -> int:
    return _read_between(1, _PORT_MAX)(text)


def _read_between(least: int, most: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        value = int(text)
        if not least <= value <= most:
            raise ValueError(text)
        return value

    return read


def _read_duration(text: str) -> datetime.timedelta:
    value = build.parse_duration(text)
    if value is None:
        raise ValueError(text)
    return value


def _read_key(text: str) -> bytes:
    if len(text) < _KEY_CHARACTERS_MIN:
        raise ValueError(text)
    return text.encode()


def _read_seeds(text: str) -> tuple[tuple[str, int], ...]:
    seeds = []
    for word in text.split():
        host, _, port = word.rpartition(":")
        seeds.append((_read_host(host.strip("[]")), _read_port(port)))
    return tuple(seeds)


def _read_choice(*allowed: str) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in allowed:
            raise ValueError(text)
        return text

    return read


_DURATION_ALLOWED = "a number with ms, s or min"
_KEY_BY_FIELD = {
    "node_id": _Key(
        section="node", name="id", allowed="one word", read=_read_word
    ),
    "host": _Key(
        section="node", name="host", allowed="an IP number", read=_read_host
    ),
    "region": _Key(
        section="node", name="region", allowed="one word", read=_read_word
    ),
    "zone": _Key(
        section="node",
        name="availability_zone",
        allowed="one word",
        read=_read_word,
    ),
    "caller_port": _Key(
        section="caller", name="port", allowed="1 to 65535", read=_read_port
    ),
    "caller_body_max": _Key(
        section="caller",
        name="max_body_bytes",
        allowed="1 to 1000000",
        read=_read_between(1, 1_000_000),
        default="65536",
    ),
    "caller_connections_max": _Key(
        section="caller",
        name="max_connections",
        allowed="1 to 100000",
        read=_read_between(1, 100_000),
        default="1000",
    ),
    "caller_idle": _Key(
        section="caller",
        name="idle_timeout",
        allowed=_DURATION_ALLOWED,
        read=_read_duration,
        default="60s",
    ),
    "peer_port": _Key(
        section="peer", name="port", allowed="1 to 65535", read=_read_port
    ),
    "peer_key": _Key(
        section="peer",
        name="key",
        allowed=f"at least {_KEY_CHARACTERS_MIN} characters",
        read=_read_key,
    ),
    "peer_seeds": _Key(
        section="peer",
        name="seeds",
        allowed="IP:PORT, with spaces between",
        read=_read_seeds,
        default="",
    ),
    "platform_host": _Key(
        section="platform",
        name="host",
        allowed="an IP number",
        read=_read_host,
    ),
    "platform_port": _Key(
        section="platform", name="port", allowed="1 to 65535", read=_read_port
    ),
    "queries_max": _Key(
        section="limits",
        name="queries_in_flight",
        allowed="1 to 100000",
        read=_read_between(1, 100_000),
        default="500",
    ),
    "drain_lag": _Key(
        section="limits",
        name="drain_lag",
        allowed=_DURATION_ALLOWED,
        read=_read_duration,
        default="5s",
    ),
    "log_style": _Key(
        section="log",
        name="style",
        allowed="json or human",
        read=_read_choice("json", "human"),
        default="json",
    ),
    "log_level": _Key(
        section="log",
        name="level",
        allowed="DEBUG, INFO, WARNING or ERROR",
        read=_read_choice("DEBUG", "INFO", "WARNING", "ERROR"),
        default="INFO",
    ),
}


def read_settings(
    path: pathlib.Path,
) -> expression.Result[NodeSettings, list[findings.Finding]]:
    """Reads and checks a daemon's settings file.

    Returns:
        The settings, or every finding with file, section, key and value.

    >>> read_settings(pathlib.Path("no-such.ini")).is_error()
    True
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), str(path))
    except (configparser.Error, UnicodeDecodeError, OSError) as error:
        problem = str(error).replace("\n", " ")
        return expression.Error(
            [
                findings.Finding(
                    file=str(path), section="", key="", problem=problem
                )
            ]
        )
    found = _unknown_keys(path, parser)
    values: dict[str, Any] = {}
    for field, key in _KEY_BY_FIELD.items():
        text = parser.get(key.section, key.name, fallback=key.default)
        try:
            if text is None:
                raise ValueError
            values[field] = key.read(text.strip())
        except ValueError:
            secret = field == "peer_key"
            shown = "the key" if secret else repr(text)
            found.append(
                findings.Finding(
                    file=str(path),
                    section=key.section,
                    key=key.name,
                    problem="is missing"
                    if text is None
                    else f"{shown} is refused",
                    allowed=key.allowed,
                )
            )
    if found:
        return expression.Error(found)
    return expression.Ok(NodeSettings(**values))


def _unknown_keys(
    path: pathlib.Path, parser: configparser.ConfigParser
) -> list[findings.Finding]:
    """Reports sections and keys that no setting has."""
    known = {(key.section, key.name) for key in _KEY_BY_FIELD.values()}
    return [
        findings.Finding(
            file=str(path), section=section, key=name, problem="is not a key"
        )
        for section in parser.sections()
        for name in parser[section]
        if (section, name) not in known
    ]
