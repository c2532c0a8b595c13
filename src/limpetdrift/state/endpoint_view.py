"""Holds the listed endpoints, and which of them get no new work.

The platform's list lags behind the endpoints' own signals. A signal that an
endpoint is leaving is final for that lifetime, which is one run of the
endpoint under its name, whichever source the signal is from.
"""

from collections.abc import Callable, Iterable

from limpetdrift.logs import note
from limpetdrift.protocol.work import ListedEndpoint

# Retention period of the leaving signals of endpoints that are no longer
# listed. An outdated list that still shows them can't arrive later.
LEAVING_RETENTION_SECONDS = 120.0


class EndpointView:
    """The listed endpoints, and the lifetimes that are leaving."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._listed: dict[str, ListedEndpoint] = {}
        self._by_service: dict[str, tuple[ListedEndpoint, ...]] = {}
        self._leaving: dict[tuple[str, int], float] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """A number that rises with each change of the usable endpoints."""
        return self._version

    @property
    def listed(self) -> tuple[ListedEndpoint, ...]:
        """All listed endpoints, including those that are leaving."""
        return tuple(self._listed.values())

    def replace(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Replace the whole list."""
        self._listed = {endpoint.name: endpoint for endpoint in endpoints}
        for endpoint in self.listed:
            self._apply_leaving_flag(endpoint)
        self._rebuild()

    def put(self, endpoint: ListedEndpoint) -> None:
        """Add an endpoint to the list, or replace it."""
        self.put_all((endpoint,))

    def put_all(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Add endpoints to the list, or replace those that are there."""
        for endpoint in endpoints:
            self._listed[endpoint.name] = endpoint
            self._apply_leaving_flag(endpoint)
        self._rebuild()

    def drop(self, name: str) -> None:
        """Remove an endpoint from the list."""
        if self._listed.pop(name, None) is not None:
            self._rebuild()

    def usable(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return a service's endpoints for new work, sorted by name."""
        return self._by_service.get(service, ())

    def is_usable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether this lifetime is listed and isn't leaving."""
        if endpoint.identity in self._leaving:
            return False
        listed = self._listed.get(endpoint.name)
        return listed is not None and listed.identity == endpoint.identity

    def find(
        self, name: str, lifetime: int | None = None
    ) -> ListedEndpoint | None:
        """Return the listed endpoint of this name and lifetime, if any.

        Without a lifetime, return the one that is listed.
        """
        listed = self._listed.get(name)
        if listed is None or lifetime not in {None, listed.lifetime}:
            return None
        return listed

    def mark_leaving(self, endpoint: ListedEndpoint, source: str) -> bool:
        """Mark a lifetime as leaving; return whether it wasn't before."""
        if endpoint.identity in self._leaving:
            return False
        self._leaving[endpoint.identity] = self._clock()
        note('endpoint leaves', endpoint=endpoint.name, source=source)
        self._rebuild()
        return True

    def _apply_leaving_flag(self, endpoint: ListedEndpoint) -> None:
        if endpoint.leaving:
            self.mark_leaving(endpoint, 'list')

    def _rebuild(self) -> None:
        self._version += 1
        self._expire_leaving()
        by_service: dict[str, list[ListedEndpoint]] = {}
        for endpoint in self._listed.values():
            if endpoint.identity not in self._leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {
            service: tuple(sorted(found, key=lambda each: each.name))
            for service, found in by_service.items()
        }

    def _expire_leaving(self) -> None:
        listed = {endpoint.identity for endpoint in self._listed.values()}
        cutoff = self._clock() - LEAVING_RETENTION_SECONDS
        for identity, marked_at in list(self._leaving.items()):
            if marked_at < cutoff and identity not in listed:
                self._leaving.pop(identity)
