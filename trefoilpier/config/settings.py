"""Settings file of the daemon of one entry VM."""

import configparser
import datetime
import ipaddress
import pathlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import expression

from trefoilpier.config import build, finding

_PORT_MAX = 65535
_PEER_KEY_CHARACTERS_MIN = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """All settings of the daemon.

    Attributes:
        node_id: Unique name of this entry VM.
        host: IP address that all ports listen on.
        region: Region of this VM.
        zone: Availability zone of this VM.
        caller_port: TCP port for callers.
        caller_body_max: Maximum size of a request body, in bytes.
        caller_connections_max: Maximum number of open caller connections.
        caller_idle: Idle time after which a caller connection is closed.
        peer_port: TCP and UDP port for other entry VMs.
        peer_key: Shared secret that authenticates entry VMs to each other.
        peer_seeds: Addresses of peers through which to join if the platform's
            membership list cannot be read.
        platform_host: IP address of the platform's service.
        platform_port: TCP port of the platform's service.
        queries_max: Maximum number of queries in flight.
        drain_lag: Time for which requests are still accepted after the node
            reports that it is not ready, until the load balancer has noticed.
        log_style: ``json`` or ``human``.
        log_level: Lowest level that is logged.
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
class _Setting:
    """Location, format and default of one setting.

    Attributes:
        section: Name of the INI section.
        name: Name of the key.
        allowed: Description of the accepted values for error messages.
        parse: Parser of the text; raises ``ValueError`` if it is invalid.
        default: Text that is parsed if the key is absent; None if the key is
            required.
    """

    section: str
    name: str
    allowed: str
    parse: Callable[[str], Any]
    default: str | None = None


def _parse_word(text: str) -> str:
    if not text or any(c.isspace() for c in text):
        raise ValueError(text)
    return text


def _parse_ip_address(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _parse_port(text: str) -> int:
    return _integer_parser(1, _PORT_MAX)(text)


def _integer_parser(minimum: int, maximum: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def _parse_duration(text: str) -> datetime.timedelta:
    value = build.parse_duration(text)
    if value is None:
        raise ValueError(text)
    return value


def _parse_peer_key(text: str) -> bytes:
    if len(text) < _PEER_KEY_CHARACTERS_MIN:
        raise ValueError(text)
    return text.encode()


def _parse_peer_addresses(text: str) -> tuple[tuple[str, int], ...]:
    addresses = []
    for word in text.split():
        host, _, port = word.rpartition(":")
        addresses.append(
            (_parse_ip_address(host.strip("[]")), _parse_port(port))
        )
    return tuple(addresses)


def _choice_parser(*allowed: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in allowed:
            raise ValueError(text)
        return text

    return parse


_DURATION_FORMAT = "a number with ms, s or min"
_SETTING_BY_FIELD = {
    "node_id": _Setting(
        section="node", name="id", allowed="one word", parse=_parse_word
    ),
    "host": _Setting(
        section="node",
        name="host",
        allowed="an IP address",
        parse=_parse_ip_address,
    ),
    "region": _Setting(
        section="node", name="region", allowed="one word", parse=_parse_word
    ),
    "zone": _Setting(
        section="node",
        name="availability_zone",
        allowed="one word",
        parse=_parse_word,
    ),
    "caller_port": _Setting(
        section="caller", name="port", allowed="1 to 65535", parse=_parse_port
    ),
    "caller_body_max": _Setting(
        section="caller",
        name="max_body_bytes",
        allowed="1 to 1000000",
        parse=_integer_parser(1, 1_000_000),
        default="65536",
    ),
    "caller_connections_max": _Setting(
        section="caller",
        name="max_connections",
        allowed="1 to 100000",
        parse=_integer_parser(1, 100_000),
        default="1000",
    ),
    "caller_idle": _Setting(
        section="caller",
        name="idle_timeout",
        allowed=_DURATION_FORMAT,
        parse=_parse_duration,
        default="60s",
    ),
    "peer_port": _Setting(
        section="peer", name="port", allowed="1 to 65535", parse=_parse_port
    ),
    "peer_key": _Setting(
        section="peer",
        name="key",
        allowed=f"at least {_PEER_KEY_CHARACTERS_MIN} characters",
        parse=_parse_peer_key,
    ),
    "peer_seeds": _Setting(
        section="peer",
        name="seeds",
        allowed="IP:PORT pairs separated by spaces",
        parse=_parse_peer_addresses,
        default="",
    ),
    "platform_host": _Setting(
        section="platform",
        name="host",
        allowed="an IP address",
        parse=_parse_ip_address,
    ),
    "platform_port": _Setting(
        section="platform", name="port", allowed="1 to 65535", parse=_parse_port
    ),
    "queries_max": _Setting(
        section="limits",
        name="queries_in_flight",
        allowed="1 to 100000",
        parse=_integer_parser(1, 100_000),
        default="500",
    ),
    "drain_lag": _Setting(
        section="limits",
        name="drain_lag",
        allowed=_DURATION_FORMAT,
        parse=_parse_duration,
        default="5s",
    ),
    "log_style": _Setting(
        section="log",
        name="style",
        allowed="json or human",
        parse=_choice_parser("json", "human"),
        default="json",
    ),
    "log_level": _Setting(
        section="log",
        name="level",
        allowed="DEBUG, INFO, WARNING or ERROR",
        parse=_choice_parser("DEBUG", "INFO", "WARNING", "ERROR"),
        default="INFO",
    ),
}


def read_settings(
    path: pathlib.Path,
) -> expression.Result[NodeSettings, list[finding.Finding]]:
    """Parse and validate a settings file.

    Returns:
        The settings, or all errors found, each with its file, section and key.

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
                finding.Finding(
                    file=str(path), section="", key="", problem=problem
                )
            ]
        )
    findings = _unknown_keys(path, parser)
    values: dict[str, Any] = {}
    for field, setting in _SETTING_BY_FIELD.items():
        text = parser.get(
            setting.section, setting.name, fallback=setting.default
        )
        try:
            if text is None:
                raise ValueError
            values[field] = setting.parse(text.strip())
        except ValueError:
            is_secret = field == "peer_key"
            shown_value = "the key" if is_secret else repr(text)
            findings.append(
                finding.Finding(
                    file=str(path),
                    section=setting.section,
                    key=setting.name,
                    problem="is missing"
                    if text is None
                    else f"{shown_value} is not a valid value",
                    allowed=setting.allowed,
                )
            )
    if findings:
        return expression.Error(findings)
    return expression.Ok(NodeSettings(**values))


def _unknown_keys(
    path: pathlib.Path, parser: configparser.ConfigParser
) -> list[finding.Finding]:
    """Return an error for each key that is not a setting."""
    known_keys = {
        (setting.section, setting.name)
        for setting in _SETTING_BY_FIELD.values()
    }
    return [
        finding.Finding(
            file=str(path),
            section=section,
            key=name,
            problem="is not a known key",
        )
        for section in parser.sections()
        for name in parser[section]
        if (section, name) not in known_keys
    ]
