"""Objects as they are stored: content-addressed, with a manifest.

An object travels as canonical JSON of its section, so that the same section
has the same address everywhere. A manifest lists the addresses of one version.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from trefoilpier import base


@dataclass(slots=True, kw_only=True, frozen=True)
class RawObject:
    """One section of the operators' files, not interpreted yet.

    Attributes:
        kind: The object's type, such as ``service``.
        name: Its name, unique within the kind.
        text_by_key: The settings as written.
        file: Where it was read from; not part of the stored value.
    """

    kind: str
    name: str
    text_by_key: dict[str, str]
    file: str = ""

    @property
    def section(self) -> str:
        """The INI section that holds this object."""
        return f"{self.kind} {self.name}"

    def to_bytes(self) -> bytes:
        """Returns the canonical stored value."""
        row = {"kind": self.kind, "name": self.name, "keys": self.text_by_key}
        return orjson.dumps(row, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def from_bytes(cls, data: bytes) -> "RawObject":
        """Reads a stored value; raises ``ValueError`` or ``KeyError``."""
        row = orjson.loads(data)
        return cls(kind=row["kind"], name=row["name"], text_by_key=row["keys"])


@dataclass(slots=True, kw_only=True, frozen=True)
class Manifest:
    """The addresses that make up one version.

    Attributes:
        version: Grows by one with every publish.
        token: The publisher's token, which settles a lost answer.
        parent: The address of the previous manifest, or empty.
        published_at: ISO 8601 time in UTC.
        object_hashes: Sorted addresses of the objects.
    """

    version: int
    token: str
    parent: str
    published_at: str
    object_hashes: tuple[str, ...]

    def to_bytes(self) -> bytes:
        """Returns the canonical stored value."""
        row = {
            "version": self.version,
            "token": self.token,
            "parent": self.parent,
            "published_at": self.published_at,
            "objects": self.object_hashes,
        }
        return orjson.dumps(row, option=orjson.OPT_SORT_KEYS)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Manifest":
        """Reads a stored value; raises ``ValueError`` or ``KeyError``."""
        row = orjson.loads(data)
        return cls(
            version=row["version"],
            token=row["token"],
            parent=row["parent"],
            published_at=row["published_at"],
            object_hashes=tuple(row["objects"]),
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class Bundle:
    """A whole set of objects by address.

    >>> raw = RawObject(kind="fleet", name="entry", text_by_key={"vms": "7"})
    >>> bundle = Bundle.from_objects([raw])
    >>> list(bundle.data_by_hash) == [base.content_hash(raw.to_bytes())]
    True
    """

    data_by_hash: dict[str, bytes]

    @classmethod
    def from_objects(cls, objects: Iterable[RawObject]) -> "Bundle":
        """Addresses each object."""
        values = [raw.to_bytes() for raw in objects]
        data_by_hash = {base.content_hash(data): data for data in values}
        return cls(data_by_hash=dict(sorted(data_by_hash.items())))

    def objects(self) -> list[RawObject]:
        """Reads every object back, in the order of the addresses."""
        return [RawObject.from_bytes(d) for d in self.data_by_hash.values()]

    def hashes(self) -> tuple[str, ...]:
        """Returns the sorted addresses."""
        return tuple(sorted(self.data_by_hash))
