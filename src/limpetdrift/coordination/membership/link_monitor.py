"""Tells an entry that lost its links from endpoints that have failed.

One request that reaches no endpoint says little: the endpoint may have failed.
So other endpoints are probed at once, as ``link_probes`` chooses them. If none
of them is reached either, the entry is cut off from the service, until a probe
reaches one again.
"""

import math
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.membership.link_probes import (
    PROBE_INTERVAL_SECONDS,
    ProbePermits,
    choose_probed,
    probe_interval,
    proves_cut,
)
from limpetdrift.logs import note, warn
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.supervision import (
    call_hooks,
    keep_running,
    run_contained,
)
from limpetdrift.verdict import Reason

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
    one was, at ``reached_at``; the first of them at ``missed_at``. ``verdict``
    is set while a check is under way, and ``blamed`` has the functions to call
    if it finds that the link is well.
    """

    missed: set[EndpointIdentity] = field(default_factory=set)
    reached_at: float = -math.inf
    missed_at: float = math.inf
    is_cut: bool = False
    is_watched: bool = False
    verdict: trio.Event | None = None
    blamed: list[Callable[[], None]] = field(default_factory=list)


class LinkMonitor:
    """The links of this entry; ``run`` checks them in the background.

    ``on_change`` hooks get the services that this entry is cut off from. Until
    ``permits`` are set, endpoints with a rate limit are not probed.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        probe: ProbeEndpoint,
        randomness: random.Random,
    ) -> None:
        self.on_change: list[OnChange] = []
        self.permits = ProbePermits(
            acquire=_refuse_permit, count_entries=lambda: 1
        )
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
        if not link.missed:
            link.missed_at = trio.current_time()
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
            usable = {each.identity for each in self._view.usable(service)}
            probed = choose_probed(
                self._view, service, link.missed, self._randomness
            )
            failed = await self._probe_all(probed) if usable else None
            if failed is None:
                self._find_well(service, link)
                break
            if link.missed and proves_cut(
                usable=usable,
                missed=link.missed & usable,
                failed_probes=failed,
                missed_seconds=trio.current_time() - link.missed_at,
            ):
                self._find_cut(service, link)
            else:
                # Requests that wait for the verdict go on without it.
                _settle(link)
            if link.missed:
                await trio.sleep(self._find_interval(link, probed))

    async def _probe_all(
        self, endpoints: list[ListedEndpoint]
    ) -> set[EndpointIdentity] | None:
        """Probe endpoints; return which failed, ``None`` if one was reached.

        Those that got no permit, or whose probe ended with an error of our
        own, have not failed.
        """
        failed: set[EndpointIdentity] = set()
        is_reached = False

        async def check(endpoint: ListedEndpoint) -> None:
            nonlocal is_reached  # noqa: WPS420
            is_limited = self._view.limits.is_limited(endpoint.identity)
            if is_limited and not await self.permits.acquire(endpoint):
                return
            if await self._probe(endpoint):
                is_reached = True
                nursery.cancel_scope.cancel()
            else:
                failed.add(endpoint.identity)

        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(run_contained, 'link-probe', check, endpoint)
        return None if is_reached else failed

    def _find_interval(
        self, link: _ServiceLink, probed: list[ListedEndpoint]
    ) -> float:
        """Return the seconds until the next probes.

        Peers serve the callers of an entry that knows that it is cut off, so
        that probes may be less frequent then.
        """
        if not link.is_cut:
            return PROBE_INTERVAL_SECONDS
        return probe_interval(self._view, probed, self.permits.count_entries())

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


async def _refuse_permit(endpoint: ListedEndpoint) -> bool:
    return False


def _settle(link: _ServiceLink) -> None:
    """End the wait for a verdict."""
    if link.verdict is not None:
        link.verdict.set()
        link.verdict = None
