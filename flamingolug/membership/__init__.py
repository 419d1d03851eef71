"""Gossip membership of the fleet and load reports of its nodes."""

from flamingolug.membership._gossip import Dependencies
from flamingolug.membership._gossip import Membership
from flamingolug.membership._loads import ADMIT_ALL
from flamingolug.membership._loads import new_report
from flamingolug.membership._loads import PeerLoads
from flamingolug.membership._loads import TimedReport
from flamingolug.membership._table import Member
from flamingolug.membership._table import MemberState
from flamingolug.membership._table import MemberTable

__all__ = [
    "ADMIT_ALL",
    "Dependencies",
    "Member",
    "MemberState",
    "MemberTable",
    "Membership",
    "PeerLoads",
    "TimedReport",
    "new_report",
]
