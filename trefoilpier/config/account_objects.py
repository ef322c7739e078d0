"""Client accounts as configuration objects, with digests of their keys.

An account's object holds digests only, so that published objects, their diffs
and findings about them show no key.
"""

import re
from collections.abc import Iterable
from dataclasses import replace

import expression

from trefoilpier import accounts
from trefoilpier.config import bundle

KIND = "account"
DIGESTS_KEY = "key_digests"
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")
# Shorter ones of two keys are alike too often.
_PREFIX_MIN_CHARACTERS = 6


def digest_text(key: bytes) -> str:
    """Return the digest of a key as an object states it.

    >>> len(digest_text(b"k1"))
    32
    """
    return accounts.digest_key(key).hex()


def read_digests(raw: bundle.RawObject) -> tuple[str, ...]:
    """Return the digests of an account's object, valid or not."""
    return tuple(raw.text_by_key.get(DIGESTS_KEY, "").split())


def find_digest_problem(
    raw: bundle.RawObject, holder_by_digest: dict[str, str]
) -> str:
    """Return what is wrong with the digests of an account, or ``""``.

    A text that is no digest may be a key, and is not shown.

    Args:
        raw: Object of the account.
        holder_by_digest: Accounts by the digests of the objects before it, to
            which those of this one are added.

    >>> raw = bundle.RawObject(
    ...     kind="account", name="crew", text_by_key={"key_digests": "k1"}
    ... )
    >>> find_digest_problem(raw, {})
    'entry 1 is not a digest of 32 hexadecimal digits'
    """
    for number, digest in enumerate(read_digests(raw), start=1):
        if not _DIGEST_PATTERN.fullmatch(digest):
            return f"entry {number} is not a digest of 32 hexadecimal digits"
        holder = holder_by_digest.setdefault(digest, raw.name)
        if holder != raw.name:
            return f"{digest} already belongs to account {holder!r}"
    return ""


def add_digest(
    objects: Iterable[bundle.RawObject],
    *,
    account: str,
    digest: str,
    create: bool,
) -> expression.Result[list[bundle.RawObject], str]:
    """Add the digest of a key to an account.

    Args:
        objects: All objects.
        account: Name of the account.
        digest: Digest to add.
        create: Whether the account is created if there is none of this name.

    Returns:
        All objects of the next version, or why there is none.

    >>> add_digest([], account="crew", digest="d", create=False).error
    "no account 'crew'"
    """
    changed = []
    found = False
    for raw in objects:
        if (raw.kind, raw.name) == (KIND, account):
            found = True
            raw = _with_digests(raw, (*read_digests(raw), digest))
        changed.append(raw)
    if not found and not create:
        return expression.Error(f"no account {account!r}")
    if not found:
        raw = bundle.RawObject(kind=KIND, name=account, text_by_key={})
        changed.append(_with_digests(raw, (digest,)))
    return expression.Ok(changed)


def withdraw_digest(
    objects: Iterable[bundle.RawObject], *, account: str, prefix: str
) -> expression.Result[list[bundle.RawObject], str]:
    """Remove the digest of a key from an account.

    Args:
        objects: All objects.
        account: Name of the account.
        prefix: First characters of the digest.

    Returns:
        All objects of the next version, or why there is none.

    >>> withdraw_digest([], account="crew", prefix="0a1b2c").error
    "no account 'crew'"
    """
    if len(prefix) < _PREFIX_MIN_CHARACTERS:
        return expression.Error(
            f"the digest needs {_PREFIX_MIN_CHARACTERS} characters or more"
        )
    objects = list(objects)
    found = [raw for raw in objects if (raw.kind, raw.name) == (KIND, account)]
    if not found:
        return expression.Error(f"no account {account!r}")
    digests = read_digests(found[0])
    matches = [each for each in digests if each.startswith(prefix.lower())]
    if len(matches) != 1:
        return expression.Error(
            f"{len(matches)} digests of account {account!r} begin with "
            f"{prefix!r}"
        )
    changed = _with_digests(
        found[0], tuple(each for each in digests if each != matches[0])
    )
    return expression.Ok(
        [changed if raw is found[0] else raw for raw in objects]
    )


def _with_digests(
    raw: bundle.RawObject, digests: tuple[str, ...]
) -> bundle.RawObject:
    text_by_key = {**raw.text_by_key, DIGESTS_KEY: "\n".join(digests)}
    return replace(raw, text_by_key=text_by_key)
