"""How long a VM that has left the list of gatherers stays a member.

The list in the store loses VMs that cannot renew their registration although
they run, and differs between VMs while the store is unavailable to some of
them. Limits would then have no owner, or one that changes. A VM therefore stays
a member while it is heard of.
"""

from trefoilpier.shares import peer as peers

# A VM in contact is heard of at least this often.
_CONTACT_S = 3.0
# A VM that is not heard of stays for this time in addition: the VM or the link
# may pause. The sum is less than the lease of a registration, so that a VM that
# was killed has no time left when the list loses it.
_GRACE_S = 2.0
# A VM may not have been asked for long when the list loses it. Two messages
# without an answer take 0.55 s.
_PROBE_S = 1.0
PROBE_PAUSE_S = 1.0  # Between two messages to a VM that is not in the list.


def ends_at(peer: peers.Peer) -> float | None:
    """Return when a VM stops being a member; None while the list has it.

    Args:
        peer: State of the VM.
    """
    if peer.unlisted_at is None:
        return None
    if peer.leaving or not peer.supported:
        return peer.unlisted_at
    return max(
        peer.heard_at + _CONTACT_S + _GRACE_S, peer.unlisted_at + _PROBE_S
    )
