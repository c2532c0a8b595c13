"""Keeps which failure domains the operators have evacuated.

The endpoints of an evacuated failure domain get no new work until the
evacuation is taken back. Evacuations are read from the platform's store, by
some entries from peers that read it, and hold while the store is unreachable.
"""

from collections.abc import Callable, Iterable, Mapping

from limpetdrift.logs import note
from limpetdrift.protocol.routing_sync import EvacuatedDomains
from limpetdrift.state.endpoint_view import EndpointView


class Evacuations:
    """The newest known evacuations, which the endpoint view follows.

    ``on_change`` is called with each newer version.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        on_change: Callable[[], None],
    ) -> None:
        self._view = view
        self._on_change = on_change
        self._current = EvacuatedDomains()

    @property
    def current(self) -> EvacuatedDomains:
        """The evacuations in force."""
        return self._current

    def replace(self, evacuated: EvacuatedDomains) -> bool:
        """Put newer evacuations in force; return whether these are newer."""
        if evacuated.position <= self._current.position:
            return False
        previous = set(self._current.failure_domains)
        newest = set(evacuated.failure_domains)
        self._current = evacuated
        for failure_domain in sorted(newest - previous):
            note('failure domain evacuated', failure_domain=failure_domain)
        for failure_domain in sorted(previous - newest):
            note('evacuation taken back', failure_domain=failure_domain)
        if newest != previous:
            self._view.evacuate(newest)
        self._on_change()
        return True

    def change(
        self, era: int, version: int, changed: Mapping[str, bool]
    ) -> bool:
        """Apply changes up to a version of the store.

        ``changed`` maps failure domains to whether they are evacuated now.
        Return whether the changes are newer than what was known.
        """
        domains = set(self._current.failure_domains).difference(changed)
        domains.update(name for name, evacuated in changed.items() if evacuated)
        return self.replace(_make_evacuated(era, version, domains))

    def read(self, era: int, version: int, domains: Iterable[str]) -> bool:
        """Apply a read of all evacuations at a version of the store."""
        return self.replace(_make_evacuated(era, version, domains))


def _make_evacuated(
    era: int, version: int, domains: Iterable[str]
) -> EvacuatedDomains:
    return EvacuatedDomains(
        era=era, version=version, failure_domains=tuple(sorted(domains))
    )
