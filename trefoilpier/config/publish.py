"""Publishes a checked set and reads published ones.

Objects and the manifest are written first, under their content address; the
``config/head`` value is then replaced by compare-and-swap. A head that names a
manifest therefore always names a whole set.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

import expression
import orjson

from trefoilpier import base, metadata
from trefoilpier.config import build, bundle, findings

HEAD_KEY = "config/head"
_WRITE_ATTEMPTS = 4


class PublishState(enum.StrEnum):
    """How a publish ended."""

    ACCEPTED = "accepted"
    LOST = "lost"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    STORE_DOWN = "store down"


@dataclass(slots=True, kw_only=True, frozen=True)
class PublishOutcome:
    """What the publisher knows at the end.

    Attributes:
        state: How it ended.
        version: The accepted version, or the one that won the race.
        token: Settles a lost answer when the publish is repeated with it.
        found: What is wrong with an invalid set.
        detail: One sentence for a person.
    """

    state: PublishState
    version: int
    token: str
    found: tuple[findings.Finding, ...] = ()
    detail: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Head:
    """The value of ``config/head``; version 0 before the first publish."""

    version: int
    token: str
    manifest: str

    def to_bytes(self) -> bytes:
        """Returns the stored value."""
        row = {
            "version": self.version,
            "token": self.token,
            "manifest": self.manifest,
        }
        return orjson.dumps(row)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Head":
        """Reads a stored value; an empty one is version 0."""
        if not data:
            return cls(version=0, token="", manifest="")
        row = orjson.loads(data)
        return cls(
            version=row["version"],
            token=row["token"],
            manifest=row["manifest"],
        )


def object_key(address: str) -> str:
    """Returns the store key of an object or manifest.

    >>> object_key("ab12")
    'config/objects/ab12'
    """
    return f"config/objects/{address}"


async def fetch_head(
    store: metadata.Store,
) -> expression.Result[tuple[Head, int], base.Failure]:
    """Reads the head and its revision."""
    answer = await store.get(HEAD_KEY)
    return answer.map(
        lambda entry: (Head.from_bytes(entry.value), entry.revision)
    )


async def fetch_value(
    store: metadata.Store, address: str
) -> expression.Result[bytes, base.Failure]:
    """Reads a content-addressed value and checks its address."""
    answer = await store.get(object_key(address))
    if answer.is_error():
        return expression.Error(answer.error)
    data = answer.ok.value
    if base.content_hash(data) != address:
        return expression.Error(
            base.Failure(
                code=base.ResultCode.STORE_UNAVAILABLE,
                detail=f"value {address} is absent or damaged",
            )
        )
    return expression.Ok(data)


async def fetch_manifest(
    store: metadata.Store, address: str
) -> expression.Result[bundle.Manifest, base.Failure]:
    """Reads a manifest."""
    answer = await fetch_value(store, address)
    return answer.map(bundle.Manifest.from_bytes)


async def fetch_bundle(
    store: metadata.Store,
    manifest: bundle.Manifest,
    known: dict[str, bytes],
) -> expression.Result[bundle.Bundle, base.Failure]:
    """Reads the objects of a manifest that are not in ``known``."""
    data_by_hash = {}
    for address in manifest.object_hashes:
        data = known.get(address)
        if data is None:
            answer = await fetch_value(store, address)
            if answer.is_error():
                return expression.Error(answer.error)
            data = answer.ok
        data_by_hash[address] = data
    return expression.Ok(bundle.Bundle(data_by_hash=data_by_hash))


class Publisher:
    """Publishes sets of objects for an operator."""

    __slots__ = ("_clock", "_store")

    def __init__(self, *, store: metadata.Store, clock: base.Clock) -> None:
        self._store = store
        self._clock = clock

    async def publish(
        self,
        objects: Iterable[bundle.RawObject],
        *,
        token: str,
        expect: int | None = None,
    ) -> PublishOutcome:
        """Checks and publishes a whole set.

        Args:
            objects: All objects of the new version.
            token: Unique to this publish; the same one on a repetition.
            expect: The version the operator edited, or None for any.

        Returns:
            The outcome. After ``UNKNOWN`` the same call may be repeated.
        """
        raws = list(objects)
        checked = build.build_config_set(version=0, objects=raws)
        if checked.is_error():
            return PublishOutcome(
                state=PublishState.INVALID,
                version=0,
                token=token,
                found=tuple(checked.error),
            )
        read = await fetch_head(self._store)
        if read.is_error():
            return self._down(token, read.error)
        head, revision = read.ok
        settled = await self._settle(head, token)
        if settled is not None:
            return settled
        if expect is not None and head.version != expect:
            return self._lost(head, token)
        prepared = await self._write_values(raws, head, token)
        if prepared.is_error():
            return self._down(token, prepared.error)
        return await self._swap(head, revision, prepared.ok)

    def _down(self, token: str, failure: base.Failure) -> PublishOutcome:
        return PublishOutcome(
            state=PublishState.STORE_DOWN,
            version=0,
            token=token,
            detail=failure.detail,
        )

    def _lost(self, head: Head, token: str) -> PublishOutcome:
        return PublishOutcome(
            state=PublishState.LOST, version=head.version, token=token
        )

    async def _write_values(
        self, raws: list[bundle.RawObject], head: Head, token: str
    ) -> expression.Result[Head, base.Failure]:
        """Writes the objects, then the manifest; returns the next head."""
        made = bundle.Bundle.from_objects(raws)
        for address, data in made.data_by_hash.items():
            written = await self._write_value(address, data)
            if written.is_error():
                return expression.Error(written.error)
        manifest = bundle.Manifest(
            version=head.version + 1,
            token=token,
            parent=head.manifest,
            published_at=self._clock.utc_now().isoformat(timespec="seconds"),
            object_hashes=made.hashes(),
        )
        data = manifest.to_bytes()
        address = base.content_hash(data)
        written = await self._write_value(address, data)
        if written.is_error():
            return expression.Error(written.error)
        return expression.Ok(
            Head(version=manifest.version, token=token, manifest=address)
        )

    async def _write_value(
        self, address: str, data: bytes
    ) -> expression.Result[None, base.Failure]:
        """Writes an immutable value; one that is there already is fine."""
        failure = base.Failure(code=base.ResultCode.STORE_UNAVAILABLE)
        for _ in range(_WRITE_ATTEMPTS):
            answer = await self._store.put(object_key(address), data, expect=0)
            if answer.is_ok():
                return expression.Ok(None)
            failure = answer.error
            if failure.code == base.ResultCode.STORE_CONFLICT:
                return expression.Ok(None)
            if failure.code != base.ResultCode.STORE_ANSWER_LOST:
                break
        return expression.Error(failure)

    async def _swap(
        self, head: Head, revision: int, following: Head
    ) -> PublishOutcome:
        """Replaces the head; settles a lost answer by reading it back."""
        token = following.token
        for _ in range(_WRITE_ATTEMPTS):
            answer = await self._store.put(
                HEAD_KEY, following.to_bytes(), expect=revision
            )
            if answer.is_ok():
                return PublishOutcome(
                    state=PublishState.ACCEPTED,
                    version=following.version,
                    token=token,
                )
            read = await fetch_head(self._store)
            if read.is_error():
                continue
            settled = await self._settle(read.ok[0], token, head.version)
            if settled is not None:
                return settled
            if read.ok[1] != revision:
                return self._lost(read.ok[0], token)
        return PublishOutcome(
            state=PublishState.UNKNOWN, version=0, token=token
        )

    async def _settle(
        self, head: Head, token: str, since: int = 0
    ) -> PublishOutcome | None:
        """Looks for the token in the versions after ``since``."""
        version, address, seen = head.version, head.manifest, head.token
        while version > since:
            if seen == token:
                return PublishOutcome(
                    state=PublishState.ACCEPTED, version=version, token=token
                )
            answer = await fetch_manifest(self._store, address)
            if answer.is_error() or not answer.ok.parent:
                return None
            parent = await fetch_manifest(self._store, answer.ok.parent)
            if parent.is_error():
                return None
            address = answer.ok.parent
            version, seen = parent.ok.version, parent.ok.token
        return None
