"""Ownership leases for the keys of non-idempotent calls.

At any time, at most one node may run calls with a given key.
"""

from flamingolug.ownership._lease import adopt
from flamingolug.ownership._lease import handle_vote_request
from flamingolug.ownership._lease import lease_expires_at
from flamingolug.ownership._lease import may_run
from flamingolug.ownership._lease import new_voter
from flamingolug.ownership._lease import OWNERSHIP_LEASE_S
from flamingolug.ownership._lease import record_adoption
from flamingolug.ownership._lease import VOTE_HOLD_S
from flamingolug.ownership._lease import Voter
from flamingolug.ownership._view import decode_view
from flamingolug.ownership._view import encode_view
from flamingolug.ownership._view import incarnation_of
from flamingolug.ownership._view import make_incarnation_id
from flamingolug.ownership._view import name_of
from flamingolug.ownership._view import next_view
from flamingolug.ownership._view import owner_in
from flamingolug.ownership._view import View
from flamingolug.ownership._view import view_key

__all__ = [
    "OWNERSHIP_LEASE_S",
    "VOTE_HOLD_S",
    "View",
    "Voter",
    "adopt",
    "decode_view",
    "encode_view",
    "handle_vote_request",
    "incarnation_of",
    "lease_expires_at",
    "make_incarnation_id",
    "may_run",
    "name_of",
    "new_voter",
    "next_view",
    "owner_in",
    "record_adoption",
    "view_key",
]
