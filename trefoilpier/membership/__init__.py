"""SWIM group membership of the entry VMs: probing, suspicion, gossip."""

from trefoilpier.membership.dissemination import UpdateQueue
from trefoilpier.membership.swim import Membership, MembershipTiming

__all__ = ["Membership", "MembershipTiming", "UpdateQueue"]
