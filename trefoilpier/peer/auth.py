"""Proof that two nodes share the key of their settings.

A link opens with a signed nonce from each end. Later frames are signed with a
key derived from both nonces and carry a count, so that a frame of another
link, or the same frame again, is refused.
"""

import hashlib
import hmac

MAC_BYTES = 16


def hello_mac(key: bytes, payload: bytes) -> bytes:
    """Signs the first frame of a link.

    >>> len(hello_mac(b"secret", b"hello")) == MAC_BYTES
    True
    """
    return hmac.digest(key, b"hello" + payload, hashlib.sha256)[:MAC_BYTES]


def sign_datagram(key: bytes, payload: bytes) -> bytes:
    """Signs a datagram.

    >>> sign_datagram(b"k", b"a") == sign_datagram(b"k", b"b")
    False
    """
    return hmac.digest(key, b"datagram" + payload, hashlib.sha256)[:MAC_BYTES]


class FrameMac:
    """Signs or checks the frames of one direction of a link.

    >>> one = FrameMac(key=b"k", first=b"n1", second=b"n2")
    >>> two = FrameMac(key=b"k", first=b"n1", second=b"n2")
    >>> two.check(b"data", one.sign(b"data"))
    True
    >>> two.check(b"data", FrameMac(key=b"k", first=b"n1",
    ...     second=b"n2").sign(b"data"))
    False
    """

    __slots__ = ("_count", "_key")

    def __init__(self, *, key: bytes, first: bytes, second: bytes) -> None:
        """Derives the key.

        Args:
            key: The shared key of the settings.
            first: Nonce of the end that sends.
            second: Nonce of the end that receives.
        """
        text = b"link" + first + second
        self._key = hmac.digest(key, text, hashlib.sha256)
        self._count = 0

    def sign(self, payload: bytes) -> bytes:
        """Returns the code of the next frame."""
        self._count += 1
        text = self._count.to_bytes(8, "big") + payload
        return hmac.digest(self._key, text, hashlib.sha256)[:MAC_BYTES]

    def check(self, payload: bytes, mac: bytes) -> bool:
        """Tells whether the next frame carries the right code."""
        return hmac.compare_digest(self.sign(payload), mac)
