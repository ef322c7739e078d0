"""Content-addressed storage format of configuration objects and manifests.

An object is stored as the canonical JSON of its section, so that equal
sections have the same content hash on every node. A manifest lists the hashes
of the objects of one version.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from trefoilpier import base


@dataclass(slots=True, kw_only=True, frozen=True)
class RawObject:
    """One section of an INI file, before its values are parsed.

    Attributes:
        kind: Type of the object, such as ``service``.
        name: Name of the object, unique within its kind.
        text_by_key: Unparsed values by key.
        file: Name of the source file; not part of the stored value.
    """

    kind: str
    name: str
    text_by_key: dict[str, str]
    file: str = ""

    @property
    def section(self) -> str:
        """Name of the INI section that defines this object."""
        return f"{self.kind} {self.name}"

    def to_bytes(self) -> bytes:
        """Return the stored value as canonical JSON."""
        row = {"kind": self.kind, "name": self.name, "keys": self.text_by_key}
        return orjson.dumps(row, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def from_bytes(cls, data: bytes) -> "RawObject":
        """Deserialize a stored value.

        Raises:
            ValueError: The value is not JSON.
            KeyError: A field is missing.
        """
        row = orjson.loads(data)
        return cls(kind=row["kind"], name=row["name"], text_by_key=row["keys"])


@dataclass(slots=True, kw_only=True, frozen=True)
class Manifest:
    """Content hashes of the objects of one configuration version.

    Attributes:
        version: Version number, incremented by each publish.
        token: Token of the publish operation, by which a publisher whose
            response was lost finds out whether the version was accepted.
        parent_hash: Content hash of the previous manifest, or empty.
        published_at: ISO 8601 time in UTC.
        object_hashes: Sorted content hashes of the objects.
    """

    version: int
    token: str
    parent_hash: str
    published_at: str
    object_hashes: tuple[str, ...]

    def to_bytes(self) -> bytes:
        """Return the stored value as canonical JSON."""
        row = {
            "version": self.version,
            "token": self.token,
            "parent": self.parent_hash,
            "published_at": self.published_at,
            "objects": self.object_hashes,
        }
        return orjson.dumps(row, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Manifest":
        """Deserialize a stored value.

        Raises:
            ValueError: The value is not JSON.
            KeyError: A field is missing.
        """
        row = orjson.loads(data)
        return cls(
            version=row["version"],
            token=row["token"],
            parent_hash=row["parent"],
            published_at=row["published_at"],
            object_hashes=tuple(row["objects"]),
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class Bundle:
    """All objects of one configuration version, by content hash.

    >>> raw = RawObject(kind="fleet", name="entry", text_by_key={"vms": "7"})
    >>> bundle = Bundle.from_objects([raw])
    >>> list(bundle.data_by_hash) == [base.content_hash(raw.to_bytes())]
    True
    """

    data_by_hash: dict[str, bytes]

    @classmethod
    def from_objects(cls, objects: Iterable[RawObject]) -> "Bundle":
        """Serialize the objects and compute their content hashes."""
        values = [raw.to_bytes() for raw in objects]
        data_by_hash = {base.content_hash(data): data for data in values}
        return cls(data_by_hash=dict(sorted(data_by_hash.items())))

    def objects(self) -> list[RawObject]:
        """Deserialize all objects, in the order of ``data_by_hash``."""
        return [RawObject.from_bytes(d) for d in self.data_by_hash.values()]

    def hashes(self) -> tuple[str, ...]:
        """Return the sorted content hashes."""
        return tuple(sorted(self.data_by_hash))
