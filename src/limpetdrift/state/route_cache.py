"""The route table that this process holds, and how sure it is of it.

A table only ever gives way to a newer one. ``confirmed_at`` is the start of
the last read which showed that there was no newer one; it is on the clock
that counts suspension, so that a process that slept knows its belief is old.
"""

from collections.abc import Callable

from limpetdrift.protocol.route_table import (
    Account,
    Route,
    RouteTable,
    Service,
)

TableHook = Callable[[RouteTable], None]


class RouteTableCache:
    """The newest route table seen, with look-ups made for it."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.on_change: list[TableHook] = []
        self._clock = clock
        self._table: RouteTable | None = None
        self._confirmed_at = float('-inf')
        self._by_host: dict[str, list[Route]] = {}
        self._by_key: dict[str, Account] = {}
        self._services: dict[str, Service] = {}

    @property
    def table(self) -> RouteTable | None:
        """The table in force, once there is one."""
        return self._table

    @property
    def services(self) -> tuple[Service, ...]:
        """The services of the table in force."""
        return tuple(self._services.values())

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._table.version if self._table else 0

    @property
    def confirmed_at(self) -> float:
        """When a read began that found nothing newer than this table."""
        return self._confirmed_at

    def age_seconds(self) -> float:
        """Return how long ago the table was confirmed."""
        return self._clock() - self._confirmed_at

    def accept_newer(self, table: RouteTable, requested_at: float) -> bool:
        """Use a table that a read begun at ``read_at`` returned.

        Returns whether it is newer than the one in force. One that is older
        changes nothing, not even the time of confirmation.
        """
        if table.version < self.version:
            return False
        changed = table.version > self.version
        if changed:
            self._use(table)
        self.confirm(table.version, requested_at)
        return changed

    def confirm(self, version: int, requested_at: float) -> None:
        """Note that a read begun then found no version above this one."""
        if version == self.version and self._table is not None:
            self._confirmed_at = max(self._confirmed_at, requested_at)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        return next(
            (
                route
                for route in self._by_host.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def find_account(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        return self._by_key.get(key)

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)

    def _use(self, table: RouteTable) -> None:
        self._table = table
        by_host: dict[str, list[Route]] = {}
        for each in table.routes:
            by_host.setdefault(each.host.lower(), []).append(each)
        for routes in by_host.values():
            routes.sort(key=_prefix_length, reverse=True)
        self._by_host = by_host
        self._by_key = {
            key: account for account in table.accounts for key in account.keys
        }
        self._services = {service.name: service for service in table.services}
        for hook in self.on_change:
            hook(table)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
