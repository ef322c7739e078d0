"""Message authentication between nodes that share a key in their settings.

A link opens with a signed nonce from each end. Later frames are signed with a
key derived from both nonces, over a frame counter, so that replayed frames
and frames from another link are rejected.
"""

import hashlib
import hmac

MAC_BYTES = 16


def hello_mac(key: bytes, payload: bytes) -> bytes:
    """Return the MAC of a link's first frame.

    >>> len(hello_mac(b"secret", b"hello")) == MAC_BYTES
    True
    """
    return hmac.digest(key, b"hello" + payload, hashlib.sha256)[:MAC_BYTES]


def sign_datagram(key: bytes, payload: bytes) -> bytes:
    """Return the MAC of a datagram.

    >>> sign_datagram(b"k", b"a") == sign_datagram(b"k", b"b")
    False
    """
    return hmac.digest(key, b"datagram" + payload, hashlib.sha256)[:MAC_BYTES]


class FrameMac:
    """MACs of the frames in one direction of a link.

    >>> sender = FrameMac(
    ...     key=b"k", sender_nonce=b"n1", receiver_nonce=b"n2"
    ... )
    >>> receiver = FrameMac(
    ...     key=b"k", sender_nonce=b"n1", receiver_nonce=b"n2"
    ... )
    >>> receiver.check(b"data", sender.sign(b"data"))
    True
    >>> receiver.check(
    ...     b"data",
    ...     FrameMac(
    ...         key=b"k", sender_nonce=b"n1", receiver_nonce=b"n2"
    ...     ).sign(b"data"),
    ... )
    False
    """

    __slots__ = ("_frame_count", "_key")

    def __init__(
        self, *, key: bytes, sender_nonce: bytes, receiver_nonce: bytes
    ) -> None:
        """Derive the key for one direction of the link.

        Args:
            key: The shared key in the settings.
            sender_nonce: Nonce of the end that sends.
            receiver_nonce: Nonce of the end that receives.
        """
        key_input = b"link" + sender_nonce + receiver_nonce
        self._key = hmac.digest(key, key_input, hashlib.sha256)
        self._frame_count = 0

    def sign(self, payload: bytes) -> bytes:
        """Return the MAC of the next frame."""
        self._frame_count += 1
        mac_input = self._frame_count.to_bytes(8, "big") + payload
        return hmac.digest(self._key, mac_input, hashlib.sha256)[:MAC_BYTES]

    def check(self, payload: bytes, mac: bytes) -> bool:
        """Return whether a MAC is that of the next frame."""
        return hmac.compare_digest(self.sign(payload), mac)
