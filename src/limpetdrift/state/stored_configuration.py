"""Compares the configuration in force to the one that the store shows.

A store that came back from an older copy may show an older configuration. It
then changes nothing and confirms nothing: a key that the newer one revoked
would seem confirmed. The age of the configuration in force runs on until the
store, or a peer, shows that version or a newer one. One that can't be read may
revoke keys as well, and has the same effect until it is replaced.
"""

from limpetdrift.logs import warn
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA
from limpetdrift.state.route_cache import NEVER, RouteTableCache
from limpetdrift.state.store_era import StoreEra


class StoredConfiguration:
    """The version that the store showed last.

    While peers are yet to be polled in an era, reads put newer tables in force
    but confirm none: a process that has just started, or was cut off, may not
    know of a newer configuration than that of an older copy.
    """

    def __init__(self, *, routes: RouteTableCache, store_era: StoreEra) -> None:
        self._routes = routes
        self._store_era = store_era
        self._version = 0
        self._era = UNKNOWN_ERA
        self._is_behind = False
        self._is_unreadable = False
        self._unconfirmed_at = NEVER
        store_era.on_peer_poll.append(self._confirm_deferred_read)

    @property
    def is_behind(self) -> bool:
        """Whether the store shows an older table, or one that can't be read."""
        return self._is_behind or self._is_unreadable

    @property
    def is_confirmation_blocked(self) -> bool:
        """Whether no read can confirm the table in force for now."""
        return self.is_behind or self._store_era.is_peer_poll_due

    def begin_era(self, era: int) -> None:
        """Forget what an earlier era showed."""
        if era != self._era:
            self._era = era
            self._version = 0
            self._is_unreadable = False
            self._unconfirmed_at = NEVER

    def reject(self) -> None:
        """Record that the store shows a configuration that can't be read."""
        self._is_unreadable = True
        self._unconfirmed_at = NEVER

    def accept(self, table: RouteTable, requested_at: float) -> bool:
        """Put a table that was read in force if newer; return whether it was.

        ``requested_at`` is the start of the read. A newer table than an
        earlier read of this era showed is one that the operator has written
        since, so it is the newest.
        """
        self._is_unreadable = False
        is_written_since = 0 < self._version < table.version
        self._version = table.version
        if is_written_since:
            self._store_era.record_peer_poll(self._era)
        is_due = self._store_era.is_peer_poll_due
        read_at = NEVER if is_due else requested_at
        return self._routes.accept_newer(table, read_at, self._era)

    def confirm(self, requested_at: float) -> None:
        """Confirm the table in force, if the store shows it.

        ``requested_at`` is the start of the read. While peers are yet to be
        polled, the read is kept and takes effect after the polls.
        """
        if self._is_unreadable:
            return
        if self._store_era.is_peer_poll_due:
            self._unconfirmed_at = requested_at
            return
        is_confirmed = self._routes.confirm(
            self._version, requested_at, self._era
        )
        was_behind = self._is_behind
        self._is_behind = not is_confirmed and self._routes.table is not None
        if self._is_behind and not was_behind:
            warn(
                'store shows an older configuration than the one in force',
                stored=self._version,
                version=self._routes.version,
                era=self._era,
            )

    def _confirm_deferred_read(self) -> None:
        if self._unconfirmed_at > NEVER:
            self.confirm(self._unconfirmed_at)
            self._unconfirmed_at = NEVER
