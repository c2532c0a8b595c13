"""Holds the listed endpoints, and which of them get no new work.

The platform's list lags behind the endpoints' own signals. A signal that an
endpoint is leaving is final for that lifetime, which is one run of the
endpoint under its name, whichever source the signal is from. The endpoints of
evacuated failure domains get no new work either, until the operators take the
evacuation back.
"""

from collections.abc import Callable, Iterable

from limpetdrift.logs import note
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_back_offs import EndpointBackOffs
from limpetdrift.state.endpoint_limits import EndpointLimits

# Retention period of the leaving signals of endpoints that are no longer
# listed. An outdated list that still shows them can't arrive later.
LEAVING_RETENTION_SECONDS = 120.0
# Sources of leaving signals: the endpoint's own answer, the platform's list,
# and another entry.
ANSWER_SOURCE = 'answer'
LIST_SOURCE = 'list'
PEER_SOURCE = 'peer'


class EndpointView:
    """The listed endpoints, and which of them may get new work.

    ``back_offs`` are those that endpoints asked this entry for. They don't
    change which endpoints are usable, since they don't concern other entries.
    ``limits`` are the rates that endpoints take from all entries together.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._listed: dict[str, ListedEndpoint] = {}
        self._by_service: dict[str, tuple[ListedEndpoint, ...]] = {}
        self._leaving: dict[EndpointIdentity, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._ahead_of_list: dict[str, tuple[ListedEndpoint, ...]] = {}
        self._version = 0
        self.back_offs = EndpointBackOffs(clock=clock)
        self.limits = EndpointLimits(clock=clock)

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
        self._listed.clear()
        self.put_all(endpoints)

    def put(self, endpoint: ListedEndpoint) -> None:
        """Add an endpoint to the list, or replace it."""
        self.put_all((endpoint,))

    def put_all(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Add endpoints to the list, or replace those that are there."""
        added = {endpoint.name: endpoint for endpoint in endpoints}
        self._listed.update(added)
        for endpoint in added.values():
            if endpoint.leaving:
                self.mark_leaving(endpoint, LIST_SOURCE)
        self._rebuild()

    def drop(self, name: str) -> None:
        """Remove an endpoint from the list."""
        if self._listed.pop(name, None) is not None:
            self._rebuild()

    def usable(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return a service's endpoints for new work, sorted by name."""
        return self._by_service.get(service, ())

    def leaving_ahead_of_list(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return a service's endpoints that leave without the list saying so.

        Other entries may not know of them.
        """
        return self._ahead_of_list.get(service, ())

    def is_usable(self, endpoint: ListedEndpoint) -> bool:
        """Return whether this lifetime is listed and may get new work."""
        if endpoint.identity in self._leaving:
            return False
        if endpoint.failure_domain in self._evacuated:
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

    def evacuate(self, failure_domains: Iterable[str]) -> None:
        """Send no new work to the endpoints of these failure domains only.

        It replaces what was evacuated before.
        """
        self._evacuated = frozenset(failure_domains)
        self._rebuild()

    def mark_leaving(self, endpoint: ListedEndpoint, source: str) -> bool:
        """Mark a lifetime as leaving; return whether it wasn't before."""
        if endpoint.identity in self._leaving:
            return False
        self._leaving[endpoint.identity] = self._clock()
        note('endpoint leaves', endpoint=endpoint.name, source=source)
        self._rebuild()
        return True

    def _rebuild(self) -> None:
        self._version += 1
        listed = {endpoint.identity for endpoint in self._listed.values()}
        cutoff = self._clock() - LEAVING_RETENTION_SECONDS
        _expire_leaving(self._leaving, listed, cutoff)
        self.back_offs.forget_unlisted(listed)
        self.limits.forget_unlisted(listed)
        staying = []
        ahead_of_list = []
        for endpoint in self._listed.values():
            if endpoint.identity in self._leaving:
                if not endpoint.leaving:
                    ahead_of_list.append(endpoint)
            elif endpoint.failure_domain not in self._evacuated:
                staying.append(endpoint)
        self._by_service = _group_by_service(staying)
        self._ahead_of_list = _group_by_service(ahead_of_list)


def _group_by_service(
    endpoints: Iterable[ListedEndpoint],
) -> dict[str, tuple[ListedEndpoint, ...]]:
    """Return the endpoints of each service, sorted by name."""
    by_service: dict[str, list[ListedEndpoint]] = {}
    for endpoint in endpoints:
        by_service.setdefault(endpoint.service, []).append(endpoint)
    return {
        service: tuple(sorted(found, key=lambda each: each.name))
        for service, found in by_service.items()
    }


def _expire_leaving(
    leaving: dict[EndpointIdentity, float],
    listed: set[EndpointIdentity],
    cutoff: float,
) -> None:
    """Drop the signals before ``cutoff`` of endpoints that aren't listed."""
    for identity, marked_at in list(leaving.items()):
        if marked_at < cutoff and identity not in listed:
            leaving.pop(identity)
