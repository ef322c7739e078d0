"""Decoding of the client accounts in the operators' configuration.

Errors name the account and the field, and never show a key.
"""

import re
from typing import Any

from trefoilpier import accounts

# Requests a second. A larger quota can only be a mistake.
_QUOTA_MAX = 1e9
_CONTROL_CHARACTER = re.compile("[\x00-\x1f\x7f]")


def parse_accounts(rows: object) -> accounts.AccountTable:
    """Return the accounts of a configuration.

    Raises:
        ValueError: If an account is malformed.

    >>> parse_accounts([{"name": "crew", "api-keys": ["k1", ""]}])
    Traceback (most recent call last):
    ...
    ValueError: account 'crew': api-keys has an entry that is no key
    """
    if not isinstance(rows, list):
        raise ValueError("tenants is not a list")
    entries: list[tuple[accounts.Account, list[bytes]]] = []
    names: set[str] = set()
    name_by_key: dict[str, str] = {}
    for number, row in enumerate(rows):
        name = _parse_name(number, row)
        if name in names:
            raise ValueError(f"account {name!r}: name is not unique")
        names.add(name)
        keys = _parse_keys(name, row)
        for key in keys:
            holder = name_by_key.setdefault(key, name)
            if holder != name:
                raise ValueError(
                    f"account {name!r}: api-keys has a key of account "
                    f"{holder!r}"
                )
        account = accounts.Account(
            name=name,
            priority=_parse_priority(name, row),
            quota=_parse_quota(name, row),
        )
        entries.append((account, [key.encode() for key in keys]))
    return accounts.AccountTable(entries=entries)


def find_unreadable_account(value: bytes) -> str:
    """Return which account makes a configuration unreadable, or ``""``.

    JSON has no infinite numbers, so that a configuration with one cannot be
    read at all. Its error must name the account nevertheless.
    """
    # Imported only if needed, since imports take most of the startup time.
    import json

    try:
        fields = json.loads(value)
        if isinstance(fields, dict) and "tenants" in fields:
            parse_accounts(fields["tenants"])
    except (json.JSONDecodeError, RecursionError):
        return ""
    except ValueError as error:
        return str(error)
    return ""


def _parse_name(number: int, row: object) -> str:
    """Return the name of an account, which is sent to leaves in a header."""
    if not isinstance(row, dict):
        raise ValueError(f"account {number} of tenants is not an object")
    name = row.get("name")
    if not isinstance(name, str) or not name:
        raise ValueError(
            f"account {number} of tenants: name is not a non-empty string"
        )
    if _CONTROL_CHARACTER.search(name):
        raise ValueError(f"account {name!r}: name has a control character")
    return name


def _parse_keys(name: str, row: dict[str, Any]) -> list[str]:
    keys = row.get("api-keys", [])
    if not isinstance(keys, list):
        raise ValueError(f"account {name!r}: api-keys is not a list")
    for key in keys:
        if not isinstance(key, str) or not key:
            raise ValueError(
                f"account {name!r}: api-keys has an entry that is no key"
            )
    return keys


def _parse_priority(name: str, row: dict[str, Any]) -> int | None:
    priority = row.get("priority")
    if priority is None:
        return None
    if not isinstance(priority, int) or isinstance(priority, bool):
        raise ValueError(f"account {name!r}: priority is not an integer")
    return priority


def _parse_quota(name: str, row: dict[str, Any]) -> accounts.Quota | None:
    if "per-s" not in row and "burst" not in row:
        return None
    rate = _parse_limit(name, "per-s", row)
    burst = _parse_limit(name, "burst", row)
    return accounts.Quota(rate=rate, burst=burst) if rate else None


def _parse_limit(name: str, field: str, row: dict[str, Any]) -> float:
    value = row.get(field)
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number:
        raise ValueError(f"account {name!r}: {field} is not a number")
    # Infinity and NaN are not in the range either.
    if not 0 <= value <= _QUOTA_MAX:
        raise ValueError(
            f"account {name!r}: {field} is not from 0 to {_QUOTA_MAX:.0e}"
        )
    return float(value)
