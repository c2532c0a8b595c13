"""Caches the newest route table and the time when it was confirmed.

A table is only replaced by a newer one: of a higher version, or of the same
version and a newer era of the store with other content. The operator gives a
version out again if the store lost it. ``confirmed_at`` is the start of the
last read that found no newer table. It is a time of a clock that also runs
while the machine is suspended, so that the cache's age is right after a
process wakes.
"""

from collections.abc import Callable

from limpetdrift.protocol.route_table import (
    Account,
    Route,
    RouteTable,
    Service,
)
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA
from limpetdrift.supervision import call_hooks

TableListener = Callable[[RouteTable], None]

# The time of the last confirmation before the first.
NEVER = float('-inf')


class RouteTableCache:
    """The newest route table received, with indexes for look-ups.

    ``clock`` returns seconds; the functions in ``on_change`` are called with
    each new table, and those in ``on_first_confirmation`` once.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.on_change: list[TableListener] = []
        self.on_first_confirmation: list[Callable[[], None]] = []
        self._clock = clock
        self._table: RouteTable | None = None
        self._era = UNKNOWN_ERA
        # Tables of the version in force that another one has replaced. An
        # older copy of the store may show them again.
        self._superseded: list[RouteTable] = []
        self._confirmed_at = NEVER
        self._routes_by_host: dict[str, list[Route]] = {}
        self._accounts_by_key: dict[str, Account] = {}
        self._services: dict[str, Service] = {}

    @property
    def table(self) -> RouteTable | None:
        """The table in force; ``None`` before the first."""
        return self._table

    @property
    def services(self) -> tuple[Service, ...]:
        """The services of the table in force."""
        return tuple(self._services.values())

    @property
    def version(self) -> int:
        """The version of the table in force; 0 before the first."""
        return self._table.version if self._table else 0

    @property
    def era(self) -> int:
        """The era of the store in which the table in force was read."""
        return self._era

    @property
    def confirmed_at(self) -> float:
        """The start of the last read without a newer table, or ``NEVER``."""
        return self._confirmed_at

    def age_seconds(self) -> float:
        """Return the time since the table was confirmed."""
        return self._clock() - self._confirmed_at

    def accept_newer(
        self,
        table: RouteTable,
        requested_at: float,
        era: int = UNKNOWN_ERA,
    ) -> bool:
        """Put a table in force if it is newer; return whether it was.

        ``requested_at`` is the time at which the read that returned the table
        began, and ``era`` the store's era then. A table of the same version
        confirms the one in force; an older one changes nothing, not even
        ``confirmed_at``.
        """
        if not self._replaces(table, era):
            self.confirm(table.version, requested_at, era)
            return False
        if table.version > self.version:
            self._superseded.clear()
        elif self._table is not None:
            self._superseded.append(self._table)
        self._era = era
        self._put_in_force(table)
        self.confirm(table.version, requested_at, era)
        return True

    def confirm(
        self, version: int, requested_at: float, era: int = UNKNOWN_ERA
    ) -> bool:
        """Record that a read found no newer table than the one in force.

        ``requested_at`` is the time at which the read began. The call has no
        effect, and returns false, unless ``version`` and ``era`` are those of
        the table in force.
        """
        if self._table is None or (version, era) != (self.version, self._era):
            return False
        before = self._confirmed_at
        self._confirmed_at = max(before, requested_at)
        if before == NEVER and self._confirmed_at > NEVER:
            call_hooks('confirmation-hooks', self.on_first_confirmation)
        return True

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching prefix."""
        return next(
            (
                route
                for route in self._routes_by_host.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def find_account(self, key: str) -> Account | None:
        """Return the client account that a bearer key belongs to."""
        return self._accounts_by_key.get(key)

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)

    def _replaces(self, table: RouteTable, era: int) -> bool:
        """Return whether a table is newer; adopt the era of an equal one."""
        if table.version != self.version or self._table is None:
            return table.version > self.version or self._table is None
        if era <= self._era or table in self._superseded:
            return False
        if table == self._table:
            self._era = era
            return False
        return True

    def _put_in_force(self, table: RouteTable) -> None:
        self._table = table
        by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=_prefix_length, reverse=True)
        self._routes_by_host = by_host
        self._accounts_by_key = {
            key: account for account in table.accounts for key in account.keys
        }
        self._services = {service.name: service for service in table.services}
        call_hooks('route-table-hooks', self.on_change, table)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
