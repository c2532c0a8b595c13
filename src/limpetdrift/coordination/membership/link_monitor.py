"""Tells an entry that lost its links from endpoints that have failed.

One request that reaches no endpoint says little: the endpoint may have failed.
So other endpoints of its service are probed at once. If none of them is reached
either, the entry is cut off from the service, until a probe reaches one again.
"""

import math
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.supervision import (
    call_hooks,
    keep_running,
    run_contained,
)
from limpetdrift.verdict import Reason

# Endpoints that are probed at a time, and the interval of the probes while the
# entry is cut off.
PROBED_ENDPOINTS = 3
PROBE_INTERVAL_SECONDS = 0.3
# For how long after an answer silence is taken for the endpoint's own, since it
# may pause for a second.
TRUSTED_SECONDS = 2.0
# Failures before any answer that may be the link's fault.
_SILENCE_REASONS = frozenset((Reason.IDLE_TIMEOUT, Reason.TIMEOUT))
_MISSED_REASONS = _SILENCE_REASONS | frozenset(
    (Reason.CONNECT_FAILED, Reason.CONNECT_TIMEOUT, Reason.CONNECTION_BROKEN)
)

# Returns whether an endpoint answers on a new connection.
ProbeEndpoint = Callable[[ListedEndpoint], Awaitable[bool]]
OnChange = Callable[[frozenset[str]], None]


@dataclass(kw_only=True, slots=True)
class _ServiceLink:
    """The link to a service's endpoints.

    ``missed`` has the identities of those that were not reached since another
    one was, at ``reached_at``. ``verdict`` is set while a check is under way,
    and ``blamed`` has the functions to call if it finds that the link is well.
    """

    missed: set[EndpointIdentity] = field(default_factory=set)
    reached_at: float = -math.inf
    is_cut: bool = False
    is_watched: bool = False
    verdict: trio.Event | None = None
    blamed: list[Callable[[], None]] = field(default_factory=list)


class LinkMonitor:
    """The links of this entry; ``run`` checks them in the background.

    ``on_change`` hooks get the services that this entry is cut off from.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        probe: ProbeEndpoint,
        randomness: random.Random,
    ) -> None:
        self.on_change: list[OnChange] = []
        self._view = view
        self._probe = probe
        self._randomness = randomness
        self._links: dict[str, _ServiceLink] = defaultdict(_ServiceLink)
        self._nursery: trio.Nursery | None = None

    def is_cut(self, service: str) -> bool:
        """Return whether this entry reaches no endpoint of a service."""
        return service in self._links and self._links[service].is_cut

    def record_reached(self, endpoint: ListedEndpoint) -> None:
        """Record that an endpoint answered on a new connection."""
        link = self._links[endpoint.service]
        link.reached_at = trio.current_time()
        if link.missed:
            self._find_well(endpoint.service, link)

    def record_failure(self, endpoint: ListedEndpoint, reason: Reason) -> None:
        """Record a failure on a new connection, before any answer."""
        if reason not in _MISSED_REASONS or not self._view.is_usable(endpoint):
            return
        link = self._links[endpoint.service]
        trusted_until = link.reached_at + TRUSTED_SECONDS
        if reason in _SILENCE_REASONS and trio.current_time() < trusted_until:
            return
        link.missed.add(endpoint.identity)
        if link.is_watched or self._nursery is None:
            return
        link.is_watched = True
        link.verdict = trio.Event()
        self._nursery.start_soon(
            keep_running, 'link-watch', self._watch, endpoint.service, link
        )

    async def settle(self, service: str) -> None:
        """Wait until it is known whether a failure was the link's."""
        link = self._links.get(service)
        if link is not None and link.verdict is not None:
            await link.verdict.wait()

    def blame(self, service: str, report: Callable[[], None]) -> None:
        """Call a function unless the link is at fault, maybe after a check."""
        link = self._links.get(service)
        if link is None or not (link.is_cut or link.verdict is not None):
            report()
        elif not link.is_cut:
            link.blamed.append(report)

    async def run(self) -> None:
        """Check links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def _watch(self, service: str, link: _ServiceLink) -> None:
        """Probe other endpoints until one is reached."""
        try:
            await self._probe_until_reached(service, link)
        except Exception:
            # Requests that wait for the verdict go on without it.
            _settle(link)
            raise
        link.is_watched = False

    async def _probe_until_reached(
        self, service: str, link: _ServiceLink
    ) -> None:
        while link.missed:
            endpoints = self._choose_endpoints(service, link)
            if not endpoints:
                self._find_well(service, link)
                break
            is_reached = await self._reaches_any(endpoints)
            if is_reached:
                self._find_well(service, link)
                break
            if is_reached is None:
                # Requests that wait for the verdict go on without it.
                _settle(link)
            elif link.missed:
                self._find_cut(service, link)
            if link.missed:
                await trio.sleep(PROBE_INTERVAL_SECONDS)

    def _choose_endpoints(
        self, service: str, link: _ServiceLink
    ) -> list[ListedEndpoint]:
        """Return endpoints to probe, first those that were not tried.

        The failure of a service's only endpoint says nothing of the link.
        Those that asked for fewer calls are not probed.
        """
        view = self._view
        usable = [
            each
            for each in view.back_offs.open_only(view.usable(service))
            if not view.limits.is_limited(each.identity)
        ]
        self._randomness.shuffle(usable)
        usable.sort(key=lambda each: each.identity in link.missed)
        return usable[:PROBED_ENDPOINTS] if len(usable) > 1 else []

    async def _reaches_any(
        self, endpoints: list[ListedEndpoint]
    ) -> bool | None:
        """Probe endpoints; ``None`` if each probe ended with an error."""
        reached: list[bool] = []

        async def check(endpoint: ListedEndpoint) -> None:
            reached.append(await self._probe(endpoint))
            if reached[-1]:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(run_contained, 'link-probe', check, endpoint)
        return any(reached) if reached else None

    def _find_cut(self, service: str, link: _ServiceLink) -> None:
        link.blamed.clear()
        if not link.is_cut:
            link.is_cut = True
            telemetry.count('links_cut')
            warn(
                'cut off from all endpoints of a service',
                service=service,
                missed=sorted(name for name, _ in link.missed),
            )
            self._announce()
        _settle(link)

    def _find_well(self, service: str, link: _ServiceLink) -> None:
        link.missed.clear()
        link.reached_at = trio.current_time()
        blamed = tuple(link.blamed)
        link.blamed.clear()
        if link.is_cut:
            link.is_cut = False
            note('endpoints of a service are reached again', service=service)
            self._announce()
        _settle(link)
        for report in blamed:
            report()

    def _announce(self) -> None:
        cut = frozenset(
            service for service, link in self._links.items() if link.is_cut
        )
        call_hooks('link-hooks', self.on_change, cut)


def _settle(link: _ServiceLink) -> None:
    """End the wait for a verdict."""
    if link.verdict is not None:
        link.verdict.set()
        link.verdict = None
