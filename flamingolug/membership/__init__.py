"""Membership: who is there, learned from peers, and how loaded they are."""

from flamingolug.membership._gossip import Membership
from flamingolug.membership._gossip import Needs
from flamingolug.membership._loads import LoadBoard
from flamingolug.membership._loads import new_report
from flamingolug.membership._loads import OPEN
from flamingolug.membership._loads import Seen
from flamingolug.membership._table import Member
from flamingolug.membership._table import MemberState
from flamingolug.membership._table import MemberTable

__all__ = [
    "OPEN",
    "LoadBoard",
    "Member",
    "MemberState",
    "MemberTable",
    "Membership",
    "Needs",
    "Seen",
    "new_report",
]
