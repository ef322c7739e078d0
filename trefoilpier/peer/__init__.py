"""The protocol between entry VMs: messages, authentication and transport."""

from trefoilpier.peer.auth import FrameMac, hello_mac, sign_datagram
from trefoilpier.peer.codec import decode, encode
from trefoilpier.peer.control import ControlBudget, is_control
from trefoilpier.peer.messages import (
    Ack,
    Cancel,
    Envelope,
    Hello,
    ManifestPull,
    ManifestReply,
    Message,
    NodesPull,
    NodesReply,
    Notice,
    ObjectsPull,
    ObjectsReply,
    Partial,
    Ping,
    PingRequest,
    SubQuery,
    VersionsQuery,
    VersionsReply,
)
from trefoilpier.peer.network import PeerAddress, PeerNetwork
from trefoilpier.peer.tcp import TwistedPeerNetwork

__all__ = [
    "Ack",
    "Cancel",
    "ControlBudget",
    "Envelope",
    "FrameMac",
    "Hello",
    "ManifestPull",
    "ManifestReply",
    "Message",
    "NodesPull",
    "NodesReply",
    "Notice",
    "ObjectsPull",
    "ObjectsReply",
    "Partial",
    "PeerAddress",
    "PeerNetwork",
    "Ping",
    "PingRequest",
    "SubQuery",
    "TwistedPeerNetwork",
    "VersionsQuery",
    "VersionsReply",
    "decode",
    "encode",
    "hello_mac",
    "is_control",
    "sign_datagram",
]
