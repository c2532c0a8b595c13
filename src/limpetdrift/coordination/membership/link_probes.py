"""Decides how an entry finds out whether it has lost its links to endpoints.

The load: many entries are cut off at once, before endpoints that take few
requests from all entries together. A probe of such an endpoint needs a permit,
and probes leave nearly all of its limit to requests.
"""

from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass
from random import Random

from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView

# Endpoints that are probed at a time, and the interval of the probes while the
# entry is cut off.
PROBED_ENDPOINTS = 3
PROBE_INTERVAL_SECONDS = 0.3
# Share of the limits of endpoints that the probes of all entries may use, and
# the longest interval that it leads to.
PROBED_SHARE_OF_LIMIT = 0.1
MAX_PROBE_INTERVAL_SECONDS = 10.0
# With fewer endpoints of a service, those of others are probed too.
_COMPARED_ENDPOINTS = 2
# Time for which an endpoint must be out of reach if no other can be compared
# with it: it may pause for a second.
SOLE_ENDPOINT_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbePermits:
    """What probes of endpoints with a rate limit need.

    ``acquire`` returns whether an endpoint may get a probe now, and
    ``count_entries`` the number of entries that may probe.
    """

    acquire: Callable[[ListedEndpoint], Awaitable[bool]]
    count_entries: Callable[[], int]


def choose_probed(
    view: EndpointView,
    service: str,
    missed: Set[EndpointIdentity],
    randomness: Random,
) -> list[ListedEndpoint]:
    """Return the endpoints to probe after some of a service were missed.

    First those that were not missed, and of these the ones without a limit.
    Endpoints that asked for a back-off get no probe. If fewer than two are
    left, endpoints of other services show whether any link works.
    """
    found = _shuffle_open(view, view.usable(service), randomness)
    found.sort(
        key=lambda each: (
            each.identity in missed,
            view.limits.is_limited(each.identity),
        )
    )
    if len(found) < _COMPARED_ENDPOINTS:
        others = _shuffle_open(
            view,
            tuple(
                each
                for each in view.listed
                if each.service != service and view.is_usable(each)
            ),
            randomness,
        )
        others.sort(key=lambda each: view.limits.is_limited(each.identity))
        found += others
    return found[:PROBED_ENDPOINTS]


def proves_cut(
    *,
    usable: Set[EndpointIdentity],
    missed: Set[EndpointIdentity],
    failed_probes: Set[EndpointIdentity],
    missed_seconds: float,
) -> bool:
    """Return whether an entry that reached no endpoint is cut off.

    ``usable`` are the endpoints of the service, and ``missed`` those of them
    that requests did not reach in the last ``missed_seconds``. Without a probe
    that failed, only the failure of all of them is a proof.

    >>> endpoints = {('i-1', 1), ('i-2', 1)}
    >>> proves_cut(
    ...     usable=endpoints,
    ...     missed={('i-1', 1)},
    ...     failed_probes=set(),
    ...     missed_seconds=0,
    ... )
    False
    >>> proves_cut(
    ...     usable=endpoints,
    ...     missed={('i-1', 1)},
    ...     failed_probes={('i-2', 1)},
    ...     missed_seconds=0,
    ... )
    True
    """
    if not failed_probes and not usable <= missed:
        return False
    is_sole = len(failed_probes | missed) == 1
    return not is_sole or missed_seconds >= SOLE_ENDPOINT_SECONDS


def probe_interval(
    view: EndpointView, probed: list[ListedEndpoint], entries: int
) -> float:
    """Return the seconds until an entry that is cut off probes again.

    If all ``probed`` endpoints have a limit, the probes of all ``entries``
    together use at most ``PROBED_SHARE_OF_LIMIT`` of it.
    """
    rates = [view.limits.rate_of(each.identity) for each in probed]
    rate = PROBED_SHARE_OF_LIMIT * max(rates, default=0)
    if not rates or rate * PROBE_INTERVAL_SECONDS >= entries:
        return PROBE_INTERVAL_SECONDS
    seconds = entries / rate if rate else MAX_PROBE_INTERVAL_SECONDS
    return min(MAX_PROBE_INTERVAL_SECONDS, seconds)


def _shuffle_open(
    view: EndpointView,
    endpoints: tuple[ListedEndpoint, ...],
    randomness: Random,
) -> list[ListedEndpoint]:
    """Return the endpoints without a back-off, in a random order."""
    found = list(view.back_offs.open_only(endpoints))
    randomness.shuffle(found)
    return found
