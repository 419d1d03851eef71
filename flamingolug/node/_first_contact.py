"""Finds a first peer: seeds from settings, announcements, or the store.

The store keeps one short list of peer addresses. A node that joins adds
itself when the list is short, so the list costs a handful of writes however
large the fleet is.
"""

import logging
from typing import NamedTuple

import gevent
import msgspec

from flamingolug import errors
from flamingolug import membership
from flamingolug import settings
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing

_LOGGER = logging.getLogger(__name__)
CONTACTS_KEY = "flamingolug/contacts"
#: Addresses kept in the store, per availability zone.
CONTACTS_PER_ZONE = 3
#: Seconds between two tries while no peer has answered.
RETRY_S = 1.0
#: Seconds between two checks of the list by the nodes on it.
REFRESH_S = 60.0


class Contact(NamedTuple):
    """One node on the list."""

    zone: str
    name: str
    peer: str


class Dependencies(NamedTuple):
    """What first contact works with."""

    cfg: settings.Settings
    store: store.Store | None
    members: membership.Membership
    timers: timing.Timers


class FirstContact:
    """Brings this node into contact with the fleet."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts with the seeds of the settings."""
        self._deps = deps
        self._seeds = [str(each) for each in deps.cfg.seeds]
        self.joined = False
        self._task: gevent.Greenlet[..., None] | None = None

    def start(self) -> None:
        """Begins to look for a peer."""
        self._task = gevent.spawn(self._join)

    def stop(self) -> None:
        """Ends looking for a peer."""
        if self._task is not None:
            self._task.kill()

    def add_seed(self, address: str) -> None:
        """Adds a peer address to try."""
        if address not in self._seeds:
            self._seeds.append(address)

    def _join(self) -> None:
        """Tries seeds, then the store's list, until a peer answers."""
        while not self.joined:
            for address in [*self._seeds, *self._from_store()]:
                if address == str(self._deps.cfg.peer_address):
                    continue
                if self._deps.members.contact(address):
                    self.joined = True
                    telemetry.event(_LOGGER, "fleet.joined", peer=address)
                    break
            if not self.joined:
                gevent.sleep(RETRY_S)
        self._keep_list()

    def _from_store(self) -> list[str]:
        """Returns the addresses on the store's list, this node added."""
        source = self._deps.store
        if source is None:
            return []
        try:
            contacts, version = _read(source)
            self._add_own(source, contacts, version)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "contacts.failed", exc)
            return []
        return [each.peer for each in contacts]

    def _add_own(
        self, source: store.Store, contacts: list[Contact], version: int
    ) -> None:
        """Puts this node on the list where its zone has a place free."""
        cfg = self._deps.cfg
        own = Contact(cfg.availability_zone, cfg.name, str(cfg.peer_address))
        kept = [each for each in contacts if self._is_useful(each)]
        in_zone = [each for each in kept if each.zone == own.zone]
        if own not in kept and len(in_zone) < CONTACTS_PER_ZONE:
            kept.append(own)
        if kept != contacts:
            source.swap(CONTACTS_KEY, msgspec.json.encode(kept), version)

    def _is_useful(self, contact: Contact) -> bool:
        """Returns whether an address on the list still leads somewhere."""
        member = self._deps.members.table.get(contact.name)
        if member is None:
            # Unknown here is no reason to drop it: this node may be new.
            return contact.name != self._deps.cfg.name
        return member.peer == contact.peer and member.state in (
            membership.MemberState.ALIVE,
            membership.MemberState.SUSPECT,
        )

    def _keep_list(self) -> None:
        """Keeps the list useful; one node of each zone does it."""
        while True:
            gevent.sleep(REFRESH_S)
            if self._deps.members.is_among_first_of_zone(1):
                self._from_store()


def _read(source: store.Store) -> tuple[list[Contact], int]:
    """Returns the list and its version."""
    entry = source.read(CONTACTS_KEY)
    if not entry.value:
        return [], entry.version
    return (
        msgspec.json.decode(entry.value, type=list[Contact]),
        entry.version,
    )
