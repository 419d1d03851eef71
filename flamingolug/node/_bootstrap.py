"""Finds a first peer and maintains the contact list in the store.

Tries the seeds from settings and announcements, then the contacts in the store.

The store holds one short list of peer addresses, the contacts. A joining node
adds itself only while its zone has fewer than `CONTACTS_PER_ZONE` of them, so
the number of writes does not grow with the fleet.
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
#: Key of the contact list in the store.
CONTACTS_KEY = "flamingolug/contacts"
#: Maximum number of contacts in the store per availability zone.
CONTACTS_PER_ZONE = 3
#: Seconds between two attempts to join while no peer has answered.
JOIN_RETRY_INTERVAL_S = 1.0
#: Seconds between two updates of the contact list.
REFRESH_INTERVAL_S = 60.0


class Contact(NamedTuple):
    """One node on the contact list."""

    zone: str
    name: str
    #: Peer address, as `host:port`.
    peer: str


class Dependencies(NamedTuple):
    """Dependencies of `Bootstrap`."""

    cfg: settings.Settings
    store: store.Store | None
    members: membership.Membership
    timers: timing.Timers


class Bootstrap:
    """Joins this node to the fleet and maintains the contact list."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts with the seeds from the settings."""
        self._deps = deps
        self._seeds = [str(each) for each in deps.cfg.seeds]
        #: Whether a peer has answered.
        self.joined = False
        self._task: gevent.Greenlet[..., None] | None = None

    def start(self) -> None:
        """Starts the search for a peer."""
        self._task = gevent.spawn(self._join)

    def stop(self) -> None:
        """Stops the search for a peer and the updates of the contact list."""
        if self._task is not None:
            self._task.kill()

    def add_seed(self, address: str) -> None:
        """Adds a peer address to the seeds."""
        if address not in self._seeds:
            self._seeds.append(address)

    def _join(self) -> None:
        """Tries the seeds, then the stored contacts, until a peer answers."""
        while not self.joined:
            for address in [*self._seeds, *self._refresh_contacts()]:
                if address == str(self._deps.cfg.peer_address):
                    continue
                if self._deps.members.request_members(address):
                    self.joined = True
                    telemetry.event(_LOGGER, "fleet.joined", peer=address)
                    break
            if not self.joined:
                gevent.sleep(JOIN_RETRY_INTERVAL_S)
        self._maintain_contacts()

    def _refresh_contacts(self) -> list[str]:
        """Updates the stored contact list; returns its previous addresses.

        Returns an empty list when there is no store or the store fails.
        """
        source = self._deps.store
        if source is None:
            return []
        try:
            contacts, version = _read_contacts(source)
            self._update_contacts(source, contacts, version)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "contacts.failed", exc)
            return []
        return [each.peer for each in contacts]

    def _update_contacts(
        self, source: store.Store, contacts: list[Contact], version: int
    ) -> None:
        """Removes outdated contacts and may add this node.

        Adds this node while its zone has fewer than `CONTACTS_PER_ZONE`.
        """
        cfg = self._deps.cfg
        own = Contact(cfg.availability_zone, cfg.name, str(cfg.peer_address))
        current = [each for each in contacts if self._is_valid(each)]
        in_zone = [each for each in current if each.zone == own.zone]
        if own not in current and len(in_zone) < CONTACTS_PER_ZONE:
            current.append(own)
        if current != contacts:
            source.swap(CONTACTS_KEY, msgspec.json.encode(current), version)

    def _is_valid(self, contact: Contact) -> bool:
        """Returns False if the contact is known to be outdated."""
        member = self._deps.members.table.get(contact.name)
        if member is None:
            # A missing member is no reason to remove the contact: this node
            # may be new and its table incomplete. The table always contains
            # this node itself, so the comparison is true here.
            return contact.name != self._deps.cfg.name
        return member.peer == contact.peer and member.state in (
            membership.MemberState.ALIVE,
            membership.MemberState.SUSPECT,
        )

    def _maintain_contacts(self) -> None:
        """Updates the contact list periodically, on one node of each zone."""
        while True:
            gevent.sleep(REFRESH_INTERVAL_S)
            if self._deps.members.has_zone_role(1):
                self._refresh_contacts()


def _read_contacts(source: store.Store) -> tuple[list[Contact], int]:
    """Returns the stored contacts and the version of the list."""
    entry = source.read(CONTACTS_KEY)
    if not entry.value:
        return [], entry.version
    return (
        msgspec.json.decode(entry.value, type=list[Contact]),
        entry.version,
    )
