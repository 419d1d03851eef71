"""Finds a first peer through seeds from settings, announcements or the store.

The store holds one short list of peer addresses, the contacts. A joining node
adds itself only while its zone has fewer than `CONTACTS_PER_ZONE` of them, so
the list takes a handful of writes regardless of the size of the fleet.
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
#: Most contacts in the store per availability zone.
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
            for address in [*self._seeds, *self._load_contacts()]:
                if address == str(self._deps.cfg.peer_address):
                    continue
                if self._deps.members.request_members(address):
                    self.joined = True
                    telemetry.event(_LOGGER, "fleet.joined", peer=address)
                    break
            if not self.joined:
                gevent.sleep(JOIN_RETRY_INTERVAL_S)
        self._maintain_contacts()

    def _load_contacts(self) -> list[str]:
        """Returns the addresses of the stored contacts.

        Also updates the stored list, see `_register_own`.
        """
        source = self._deps.store
        if source is None:
            return []
        try:
            contacts, version = _read_contacts(source)
            self._register_own(source, contacts, version)
        except errors.StoreError as exc:
            telemetry.failure(_LOGGER, "contacts.failed", exc)
            return []
        return [each.peer for each in contacts]

    def _register_own(
        self, source: store.Store, contacts: list[Contact], version: int
    ) -> None:
        """Removes invalid contacts; adds this node if its zone lacks some."""
        cfg = self._deps.cfg
        own = Contact(cfg.availability_zone, cfg.name, str(cfg.peer_address))
        current = [each for each in contacts if self._is_valid(each)]
        in_zone = [each for each in current if each.zone == own.zone]
        if own not in current and len(in_zone) < CONTACTS_PER_ZONE:
            current.append(own)
        if current != contacts:
            source.swap(CONTACTS_KEY, msgspec.json.encode(current), version)

    def _is_valid(self, contact: Contact) -> bool:
        """Returns whether a contact still refers to a node of the fleet."""
        member = self._deps.members.table.get(contact.name)
        if member is None:
            # A missing member is no reason to remove the contact: this node
            # may be new and its table incomplete.
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
                self._load_contacts()


def _read_contacts(source: store.Store) -> tuple[list[Contact], int]:
    """Returns the stored contacts and the version of the list."""
    entry = source.read(CONTACTS_KEY)
    if not entry.value:
        return [], entry.version
    return (
        msgspec.json.decode(entry.value, type=list[Contact]),
        entry.version,
    )
