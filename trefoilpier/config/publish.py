"""Publication of configurations to the store, and reads of published ones.

The objects and the manifest are written first, under their content hashes.
The ``config/head`` value is then replaced by compare-and-swap. A manifest that
the head refers to is therefore always complete.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

import expression
import orjson

from trefoilpier import base, metadata
from trefoilpier.config import build, bundle, finding

HEAD_KEY = "config/head"
_WRITE_ATTEMPTS = 4


class PublishState(enum.StrEnum):
    """Result of a publish operation."""

    ACCEPTED = "accepted"
    LOST = "lost"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    STORE_DOWN = "store down"


@dataclass(slots=True, kw_only=True, frozen=True)
class PublishOutcome:
    """Outcome of a publish operation.

    Attributes:
        state: Result of the operation.
        version: The accepted version, or the version that won the race; 0 if
            neither is known.
        token: Token of the operation. A repetition with the same token finds
            out whether the version was accepted.
        findings: Validation errors of an invalid configuration.
        detail: Error message for the operator.
    """

    state: PublishState
    version: int
    token: str
    findings: tuple[finding.Finding, ...] = ()
    detail: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Head:
    """The value of ``config/head``; version 0 before the first publish.

    Attributes:
        version: Version number of the newest configuration.
        token: Token of the publish operation that wrote it.
        manifest_hash: Content hash of its manifest.
    """

    version: int
    token: str
    manifest_hash: str

    def to_bytes(self) -> bytes:
        """Return the stored value as JSON."""
        row = {
            "version": self.version,
            "token": self.token,
            "manifest": self.manifest_hash,
        }
        return orjson.dumps(row)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Head":
        """Deserialize a stored value; an empty value is version 0."""
        if not data:
            return cls(version=0, token="", manifest_hash="")
        row = orjson.loads(data)
        return cls(
            version=row["version"],
            token=row["token"],
            manifest_hash=row["manifest"],
        )


def object_key(value_hash: str) -> str:
    """Return the store key of an object or manifest.

    >>> object_key("ab12")
    'config/objects/ab12'
    """
    return f"config/objects/{value_hash}"


async def fetch_head(
    store: metadata.Store,
) -> expression.Result[tuple[Head, int], base.Failure]:
    """Read the head and its store revision."""
    result = await store.get(HEAD_KEY)
    return result.map(
        lambda entry: (Head.from_bytes(entry.value), entry.revision)
    )


async def fetch_value(
    store: metadata.Store, value_hash: str
) -> expression.Result[bytes, base.Failure]:
    """Read a content-addressed value and verify its content hash."""
    result = await store.get(object_key(value_hash))
    if result.is_error():
        return expression.Error(result.error)
    data = result.ok.value
    if base.content_hash(data) != value_hash:
        return expression.Error(
            base.Failure(
                code=base.ResultCode.STORE_UNAVAILABLE,
                detail=f"value {value_hash} is missing or corrupt",
            )
        )
    return expression.Ok(data)


async def fetch_manifest(
    store: metadata.Store, value_hash: str
) -> expression.Result[bundle.Manifest, base.Failure]:
    """Read a manifest by its content hash."""
    result = await fetch_value(store, value_hash)
    return result.map(bundle.Manifest.from_bytes)


async def fetch_bundle(
    store: metadata.Store,
    manifest: bundle.Manifest,
    cached: dict[str, bytes],
) -> expression.Result[bundle.Bundle, base.Failure]:
    """Read the objects of a manifest.

    Args:
        store: The store.
        manifest: The manifest.
        cached: Objects by content hash that need not be read from the store.

    Returns:
        All objects of the manifest.
    """
    data_by_hash = {}
    for value_hash in manifest.object_hashes:
        data = cached.get(value_hash)
        if data is None:
            result = await fetch_value(store, value_hash)
            if result.is_error():
                return expression.Error(result.error)
            data = result.ok
        data_by_hash[value_hash] = data
    return expression.Ok(bundle.Bundle(data_by_hash=data_by_hash))


class Publisher:
    """Publisher of configurations on behalf of an operator."""

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
        """Validate and publish a complete configuration.

        Args:
            objects: All objects of the new version.
            token: Unique token of this operation; a repetition passes the
                same token.
            expect: The version on which the new one is based, or None to
                replace any version.

        Returns:
            The outcome. After ``UNKNOWN`` the same call may be repeated.
        """
        raw_objects = list(objects)
        build_result = build.build_config_set(version=0, objects=raw_objects)
        if build_result.is_error():
            return PublishOutcome(
                state=PublishState.INVALID,
                version=0,
                token=token,
                findings=tuple(build_result.error),
            )
        head_result = await fetch_head(self._store)
        if head_result.is_error():
            return self._store_down_outcome(token, head_result.error)
        head, revision = head_result.ok
        accepted = await self._find_accepted(head, token)
        if accepted is not None:
            return accepted
        if expect is not None and head.version != expect:
            return self._lost_outcome(head, token)
        next_head_result = await self._write_objects_and_manifest(
            raw_objects, head, token
        )
        if next_head_result.is_error():
            return self._store_down_outcome(token, next_head_result.error)
        return await self._replace_head(head, revision, next_head_result.ok)

    def _store_down_outcome(
        self, token: str, failure: base.Failure
    ) -> PublishOutcome:
        return PublishOutcome(
            state=PublishState.STORE_DOWN,
            version=0,
            token=token,
            detail=failure.detail,
        )

    def _lost_outcome(self, head: Head, token: str) -> PublishOutcome:
        return PublishOutcome(
            state=PublishState.LOST, version=head.version, token=token
        )

    async def _write_objects_and_manifest(
        self, raw_objects: list[bundle.RawObject], head: Head, token: str
    ) -> expression.Result[Head, base.Failure]:
        """Write the objects, then the manifest; return the next head."""
        new_bundle = bundle.Bundle.from_objects(raw_objects)
        for value_hash, data in new_bundle.data_by_hash.items():
            write_result = await self._write_value(value_hash, data)
            if write_result.is_error():
                return expression.Error(write_result.error)
        manifest = bundle.Manifest(
            version=head.version + 1,
            token=token,
            parent_hash=head.manifest_hash,
            published_at=self._clock.utc_now().isoformat(timespec="seconds"),
            object_hashes=new_bundle.hashes(),
        )
        data = manifest.to_bytes()
        value_hash = base.content_hash(data)
        write_result = await self._write_value(value_hash, data)
        if write_result.is_error():
            return expression.Error(write_result.error)
        return expression.Ok(
            Head(
                version=manifest.version, token=token, manifest_hash=value_hash
            )
        )

    async def _write_value(
        self, value_hash: str, data: bytes
    ) -> expression.Result[None, base.Failure]:
        """Write an immutable value, unless the store already has it."""
        failure = base.Failure(code=base.ResultCode.STORE_UNAVAILABLE)
        for _ in range(_WRITE_ATTEMPTS):
            result = await self._store.put(
                object_key(value_hash), data, expect=0
            )
            if result.is_ok():
                return expression.Ok(None)
            failure = result.error
            if failure.code == base.ResultCode.STORE_CONFLICT:
                return expression.Ok(None)
            if failure.code != base.ResultCode.STORE_ANSWER_LOST:
                break
        return expression.Error(failure)

    async def _replace_head(
        self, head: Head, revision: int, next_head: Head
    ) -> PublishOutcome:
        """Replace the head by compare-and-swap.

        If the response is lost or the write fails, the head is read back to
        find out whether the write took effect.
        """
        token = next_head.token
        for _ in range(_WRITE_ATTEMPTS):
            result = await self._store.put(
                HEAD_KEY, next_head.to_bytes(), expect=revision
            )
            if result.is_ok():
                return PublishOutcome(
                    state=PublishState.ACCEPTED,
                    version=next_head.version,
                    token=token,
                )
            head_result = await fetch_head(self._store)
            if head_result.is_error():
                continue
            accepted = await self._find_accepted(
                head_result.ok[0], token, head.version
            )
            if accepted is not None:
                return accepted
            if head_result.ok[1] != revision:
                return self._lost_outcome(head_result.ok[0], token)
        return PublishOutcome(
            state=PublishState.UNKNOWN, version=0, token=token
        )

    async def _find_accepted(
        self, head: Head, token: str, after_version: int = 0
    ) -> PublishOutcome | None:
        """Look for a version with the token in the history.

        Args:
            head: The head from which the history is followed.
            token: The token of the publish operation.
            after_version: The newest version that is not searched.

        Returns:
            The accepted outcome, or None if no version with the token was
            found.
        """
        version, current_hash, current_token = (
            head.version,
            head.manifest_hash,
            head.token,
        )
        while version > after_version:
            if current_token == token:
                return PublishOutcome(
                    state=PublishState.ACCEPTED, version=version, token=token
                )
            result = await fetch_manifest(self._store, current_hash)
            if result.is_error() or not result.ok.parent_hash:
                return None
            parent_result = await fetch_manifest(
                self._store, result.ok.parent_hash
            )
            if parent_result.is_error():
                return None
            current_hash = result.ok.parent_hash
            version, current_token = (
                parent_result.ok.version,
                parent_result.ok.token,
            )
        return None
