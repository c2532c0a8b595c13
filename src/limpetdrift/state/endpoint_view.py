"""Which endpoints there are, and which of them get no new work.

The platform's list lags behind what endpoints say themselves. A sign that an
endpoint leaves holds for that lifetime for good, wherever it came from.
"""

from collections.abc import Callable, Iterable

from limpetdrift.logs import note
from limpetdrift.protocol.work import ListedEndpoint

# Signs of endpoints that the list no longer shows are kept this long; an
# older list can't come after it.
FORGET_SECONDS = 120.0


class EndpointView:
    """The listed endpoints with the signs seen of them."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._listed: dict[str, ListedEndpoint] = {}
        self._by_service: dict[str, tuple[ListedEndpoint, ...]] = {}
        self._leaving: dict[tuple[str, int], float] = {}

    @property
    def listed(self) -> tuple[ListedEndpoint, ...]:
        """All endpoints on the list, those that leave included."""
        return tuple(self._listed.values())

    def replace(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Take a whole new list."""
        self._listed = {endpoint.name: endpoint for endpoint in endpoints}
        for endpoint in self.listed:
            self._note_listed(endpoint)
        self._rebuild()

    def put(self, endpoint: ListedEndpoint) -> None:
        """Take one new or changed entry of the list."""
        self._listed[endpoint.name] = endpoint
        self._note_listed(endpoint)
        self._rebuild()

    def drop(self, name: str) -> None:
        """Take an entry off the list."""
        if self._listed.pop(name, None) is not None:
            self._rebuild()

    def usable(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints that may get new work, in order of name."""
        return self._by_service.get(service, ())

    def is_usable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether this very lifetime is listed and doesn't leave."""
        if endpoint.identity in self._leaving:
            return False
        listed = self._listed.get(endpoint.name)
        return listed is not None and listed.identity == endpoint.identity

    def find(self, name: str, lifetime: int) -> ListedEndpoint | None:
        """Return a listed endpoint by its identity."""
        listed = self._listed.get(name)
        if listed is None or listed.lifetime != lifetime:
            return None
        return listed

    def mark_leaving(self, endpoint: ListedEndpoint, source: str) -> bool:
        """Send this lifetime nothing new; return whether that is news."""
        if endpoint.identity in self._leaving:
            return False
        self._leaving[endpoint.identity] = self._clock()
        note('endpoint leaves', endpoint=endpoint.name, source=source)
        self._rebuild()
        return True

    def _note_listed(self, endpoint: ListedEndpoint) -> None:
        if endpoint.leaving:
            self.mark_leaving(endpoint, 'list')

    def _rebuild(self) -> None:
        self._forget_old()
        by_service: dict[str, list[ListedEndpoint]] = {}
        for endpoint in self._listed.values():
            if endpoint.identity not in self._leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {
            service: tuple(sorted(found, key=lambda each: each.name))
            for service, found in by_service.items()
        }

    def _forget_old(self) -> None:
        listed = {endpoint.identity for endpoint in self._listed.values()}
        oldest = self._clock() - FORGET_SECONDS
        for identity, since in list(self._leaving.items()):
            if since < oldest and identity not in listed:
                self._leaving.pop(identity)
