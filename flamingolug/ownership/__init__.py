"""The right to run keyed non-idempotent calls, bound to one node at a time."""

from flamingolug.ownership._rights import adopt
from flamingolug.ownership._rights import HOLD_S
from flamingolug.ownership._rights import may_run
from flamingolug.ownership._rights import new_voter
from flamingolug.ownership._rights import note_adopted
from flamingolug.ownership._rights import RIGHT_S
from flamingolug.ownership._rights import right_until
from flamingolug.ownership._rights import vote
from flamingolug.ownership._rights import Voter
from flamingolug.ownership._view import decode_view
from flamingolug.ownership._view import encode_view
from flamingolug.ownership._view import incarnation_of
from flamingolug.ownership._view import make_run_id
from flamingolug.ownership._view import name_of
from flamingolug.ownership._view import next_view
from flamingolug.ownership._view import owner_in
from flamingolug.ownership._view import View
from flamingolug.ownership._view import view_key

__all__ = [
    "HOLD_S",
    "RIGHT_S",
    "View",
    "Voter",
    "adopt",
    "decode_view",
    "encode_view",
    "incarnation_of",
    "make_run_id",
    "may_run",
    "name_of",
    "new_voter",
    "next_view",
    "note_adopted",
    "owner_in",
    "right_until",
    "view_key",
    "vote",
]
