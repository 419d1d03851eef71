"""A lease of the store that a task holds."""

from flamingolug import store
from flamingolug import timing


class HeldLease:
    """A lease that is granted when it is first needed, and renewed when due."""

    def __init__(
        self,
        leased_store: store.LeasedStore,
        timers: timing.Timers,
        ttl_s: float,
        renewal_interval_s: float,
    ) -> None:
        """Creates a holder without a lease.

        Args:
            leased_store: grants and renews the lease.
            timers: clock.
            ttl_s: time to live after the last renewal, seconds.
            renewal_interval_s: seconds after which a use renews the lease.
        """
        #: The lease, None without one.
        self.lease: store.Lease | None = None
        self._store = leased_store
        self._timers = timers
        self._ttl_s = ttl_s
        self._renewal_interval_s = renewal_interval_s
        self._renewed_at = 0.0

    @property
    def age_s(self) -> float:
        """Seconds since the lease was granted or renewed."""
        return self._timers.now() - self._renewed_at

    def hold(self) -> store.Lease:
        """Returns the lease, granted or renewed if necessary.

        Raises:
            LeaseLostError: the lease has ended, or its era has.
            StoreError: the call failed.
        """
        now = self._timers.now()
        if self.lease is None:
            self.lease = self._store.grant_lease(self._ttl_s)
            self._renewed_at = now
        # Nine tenths: a slightly early wake-up does not skip a renewal.
        elif self.age_s > self._renewal_interval_s * 0.9:
            self._store.renew_lease(self.lease)
            self._renewed_at = now
        return self.lease

    def forget(self) -> None:
        """Lets the lease lapse; the next use grants another one."""
        self.lease = None
