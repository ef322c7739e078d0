"""A VM's copy of the store's items, as other VMs read it.

The copy and the position up to which it is complete come in one response. A
position of another moment, such as that of a state polled before, could belong
to other items: of a later revision, or of another era of the store.
"""

import zlib
from dataclasses import dataclass

from trefoilpier import http1

SNAPSHOT_PATH = b"/snapshot"
SNAPSHOT_ENCODING = b"deflate"
# Era, "-" for unknown; revision; 1 if the VM can follow the store, else 0.
_POSITION_HEADER = b"trefoilpier-store-position"
_UNKNOWN_ERA = b"-"
_JSON_HEADER = (b"content-type", b"application/json")
_COMPRESSION_LEVEL = 1  # The fastest.


@dataclass(slots=True, kw_only=True, frozen=True)
class SnapshotPosition:
    """Up to where a copy of the store's items is complete.

    Attributes:
        era: Era of the store in which the items were read; None if unknown.
        revision: Revision in that era up to which all changes are in it.
        current: Whether the VM could follow the store.
    """

    era: int | None
    revision: int
    current: bool

    def encode(self) -> bytes:
        """Encode the position for a header.

        >>> SnapshotPosition(era=None, revision=7, current=True).encode()
        b'- 7 1'
        """
        era = _UNKNOWN_ERA if self.era is None else b"%d" % self.era
        return b"%b %d %d" % (era, self.revision, self.current)


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """Items and their position.

    Attributes:
        data: The items, encoded as JSON.
        position: Up to where they are complete; None from a VM of an earlier
            release.
    """

    data: bytes
    position: SnapshotPosition | None


def decode_position(value: bytes) -> SnapshotPosition | None:
    """Decode the header's value; return None if it is malformed.

    >>> decode_position(b"2 7 0")
    SnapshotPosition(era=2, revision=7, current=False)
    >>> decode_position(b"2 seven")
    """
    parts = value.split(b" ")
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    era = None
    if parts[0] != _UNKNOWN_ERA:
        if not parts[0].isdigit():
            return None
        era = int(parts[0])
    return SnapshotPosition(
        era=era, revision=int(parts[1]), current=parts[2] == b"1"
    )


def respond_snapshot(exchange: http1.Exchange, snapshot: Snapshot) -> None:
    """Send a snapshot, compressed if the VM that asks can read that.

    Entries of leaves resemble each other, and fleets pay for bytes between
    zones.
    """
    headers = [_JSON_HEADER]
    if snapshot.position is not None:
        headers.append((_POSITION_HEADER, snapshot.position.encode()))
    data = snapshot.data
    accepted = http1.find_header(exchange.request.headers, b"accept-encoding")
    if accepted == SNAPSHOT_ENCODING:
        headers.append((b"content-encoding", SNAPSHOT_ENCODING))
        data = zlib.compress(data, _COMPRESSION_LEVEL)
    exchange.respond(http1.HttpResponse(status=200, headers=headers, body=data))


def read_snapshot(response: http1.HttpResponse) -> Snapshot:
    """Read a response; data that cannot be decompressed counts as empty."""
    value = http1.find_header(response.headers, _POSITION_HEADER) or b""
    data = response.body
    encoding = http1.find_header(response.headers, b"content-encoding")
    if encoding == SNAPSHOT_ENCODING:
        try:
            data = zlib.decompress(data)
        except zlib.error:
            data = b""
    return Snapshot(data=data, position=decode_position(value))
