"""Which entry VMs are live: probing, suspicion and spread of news."""

from trefoilpier.membership.news import NewsQueue
from trefoilpier.membership.swim import Membership, MembershipTiming

__all__ = ["Membership", "MembershipTiming", "NewsQueue"]
