"""Optional INI file with the settings of a VM's decisions."""

import configparser
import dataclasses
import math
import pathlib

import expression

from trefoilpier import config, forward, replicas

_FORWARDING = "forwarding"
_LEAVES = "leaves"
_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES
_SHARES = frozenset(
    (
        "hedge_reserved_share",
        "slowness_confirmed_smoothing",
        "slowness_smoothing",
    )
)
_POSITIVE = frozenset(
    (
        "slowness_confirmed_smoothing",
        "slowness_half_life_s",
        "slowness_max",
        "slowness_smoothing",
    )
)


def read_policy(
    path: str,
) -> expression.Result[forward.ForwardPolicy, list[config.Finding]]:
    """Read a policy file; the error lists all invalid settings.

    Args:
        path: Path of the file; empty for the defaults.
    """
    if not path:
        return expression.Ok(forward.ForwardPolicy())
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error([_finding(path, "", "", str(error))])
    return parse_policy(text, path)


def parse_policy(
    text: str, file: str
) -> expression.Result[forward.ForwardPolicy, list[config.Finding]]:
    r"""Parse the text of a policy file.

    >>> parse_policy("[forwarding]\nhedging = off", "p.ini").ok.hedging
    False
    >>> print(parse_policy("[leaves]\nslowness_max = -1", "p.ini").error[0])
    p.ini: [leaves] slowness_max: '-1' (allowed: a number above 0)
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return expression.Error([_finding(file, "", "", error.message)])
    findings = [
        _finding(file, name, "", "unknown section", f"{_FORWARDING}, {_LEAVES}")
        for name in parser.sections()
        if name not in (_FORWARDING, _LEAVES)
    ]
    values_by_section: dict[str, dict[str, bool | float]] = {}
    for name, kind in (
        (_LEAVES, replicas.LeafPolicy),
        (_FORWARDING, forward.ForwardPolicy),
    ):
        texts = dict(parser[name]) if parser.has_section(name) else {}
        values_by_section[name] = _read_section(
            texts, kind, file, name, findings
        )
    if findings:
        return expression.Error(findings)
    return expression.Ok(
        forward.ForwardPolicy(
            leaves=replicas.LeafPolicy(**values_by_section[_LEAVES]),
            **values_by_section[_FORWARDING],
        )
    )


def _read_section(
    text_by_key: dict[str, str],
    kind: type,
    file: str,
    section: str,
    findings: list[config.Finding],
) -> dict[str, bool | float]:
    """Return the values of a section; add a finding for each bad one."""
    type_by_key = {
        each.name: each.type
        for each in dataclasses.fields(kind)
        if each.type in (bool, float)
    }
    values: dict[str, bool | float] = {}
    for key, text in text_by_key.items():
        if key not in type_by_key:
            allowed = ", ".join(sorted(type_by_key))
            findings.append(
                _finding(file, section, key, "unknown key", allowed)
            )
            continue
        value = _parse_value(key, text, type_by_key[key])
        if value is None:
            findings.append(
                _finding(
                    file,
                    section,
                    key,
                    repr(text),
                    _allowed(key, type_by_key[key]),
                )
            )
            continue
        values[key] = value
    return values


def _parse_value(key: str, text: str, kind: type) -> bool | float | None:
    if kind is bool:
        return _BOOLEANS.get(text.lower())
    try:
        number = float(text)
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0:
        return None
    if key in _POSITIVE and not number:
        return None
    if key in _SHARES and number > 1:
        return None
    return number


def _allowed(key: str, kind: type) -> str:
    if kind is bool:
        return "on, off"
    if key in _SHARES:
        return "above 0, at most 1" if key in _POSITIVE else "0 to 1"
    return "a number above 0" if key in _POSITIVE else "a number from 0"


def _finding(
    file: str, section: str, key: str, problem: str, allowed: str = ""
) -> config.Finding:
    return config.Finding(
        file=file, section=section, key=key, problem=problem, allowed=allowed
    )
