"""Checks of the platform's guarantees on the records of a soak run.

Each check reads the callers' records and the endpoints' journal, and yields
a line for each violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

from fuzz.grammar import INNER_ID
from limpet_standins.platform_endpoints import TurnedAway
from soak.callers import Call
from soak.site import (
    DRAIN_BOUND_SECONDS,
    REVOCATION_BOUND_SECONDS,
    STOP_GRACE_SECONDS,
    EntryProcess,
    Site,
)

# Statuses that state that the request was not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
# Tolerance for delays by a busy machine.
TOLERANCE_SECONDS = 0.5
# Grace period after an injected fault of an entry, in which its late work is
# not counted.
FAULT_GRACE_SECONDS = 3.0
# Requests on their way when an endpoint names a time may arrive this long
# after it, and this many later.
_ARRIVAL_SECONDS = 0.5
_LATE_ARRIVALS = 2
# Time after which all entries know a rate limit, and the window in which the
# calls to an endpoint are counted.
_TOLD_SECONDS = 3.0
_LIMIT_WINDOW_SECONDS = 4.0

# An entry that stops may cut off requests that were sent at most so long after
# the SIGTERM, from this time after it on.
_STOP_ADMISSION_SECONDS = 3.0
_STOP_CUT_SECONDS = STOP_GRACE_SECONDS * 5 / 6

Check = Callable[[Site, list[Call]], Iterator[str]]


def single_runs(site: Site, calls: list[Call]) -> Iterator[str]:
    """A non-idempotent request runs at most once."""
    counts = Counter(run.request_id for run in site.journal.runs)
    for request_id, count in counts.items():
        if request_id.endswith('once') and count > 1:
            yield f'{request_id} ran {count} times'


def true_refusals(site: Site, calls: list[Call]) -> Iterator[str]:
    """A non-idempotent request refused as not run is never run."""
    ran = {run.request_id for run in site.journal.runs}
    for call in calls:
        refused = call.status in _NOT_RUN_STATUSES
        if call.route == 'once' and refused and call.request_id in ran:
            yield f'{call.request_id} received {call.status} and was run'


def whole_streams(site: Site, calls: list[Call]) -> Iterator[str]:
    """A stream has each event once and in order, and all if it completes."""
    for call in calls:
        if call.route != 'text' or call.status != _OK:
            continue
        expected_ids = tuple(range(1, len(call.event_ids) + 1))
        if call.event_ids != expected_ids:
            yield f'{call.request_id} received events {call.event_ids}'
        if call.is_complete and len(call.event_ids) != call.expected_events:
            received = len(call.event_ids)
            yield (
                f'{call.request_id} completed with '
                f'{received}/{call.expected_events} events'
            )


def own_accounts(site: Site, calls: list[Call]) -> Iterator[str]:
    """Endpoints receive the account of the key, and never the key itself."""
    accounts = {call.request_id: call.account for call in calls}
    for run in site.journal.runs:
        if run.has_key:
            yield f'{run.request_id} reached {run.endpoint} with its key'
        expected = accounts.get(run.request_id, run.account)
        if expected and run.account != expected:
            yield f'{run.request_id} ran as {run.account}'


def revoked_keys(site: Site, calls: list[Call]) -> Iterator[str]:
    """A revoked key runs no request that is sent after the revocation bound."""
    ran = {run.request_id for run in site.journal.runs}
    for call in calls:
        revoked_at = site.revoked_at.get(call.key)
        if revoked_at is None or call.request_id not in ran:
            continue
        late = call.sent_at - revoked_at - REVOCATION_BOUND_SECONDS
        if late > 0:
            yield (
                f'{call.request_id} ran, sent {late:.2f} s after the '
                f'revocation bound'
            )


def leaving_endpoints(site: Site, calls: list[Call]) -> Iterator[str]:
    """A draining endpoint receives no request after the drain bound.

    A request sent to an entry with a recent fault of its own is not counted,
    since the fault may have kept the drain from that entry.
    """
    entries = {call.request_id: call.entry for call in calls}
    fault_ends = {entry.host: entry.fault_until for entry in site.entries}
    for request_id, endpoint, at in site.journal.arrivals:
        draining_since = site.journal.left_at.get(endpoint)
        if draining_since is None:
            continue
        excused_until = fault_ends.get(entries.get(request_id, ''), 0.0)
        late = at - draining_since - DRAIN_BOUND_SECONDS - TOLERANCE_SECONDS
        if late > 0 and at > excused_until + FAULT_GRACE_SECONDS:
            yield (
                f'{request_id} reached {endpoint} '
                f'{late:.2f} s after the drain bound'
            )


def told_endpoints(site: Site, calls: list[Call]) -> Iterator[str]:
    """An endpoint whose answer said that it leaves gets no later request.

    This counts for the entry that passed the answer on, unless it was killed,
    stopped or frozen since.
    """
    by_id = {call.request_id: call for call in calls}
    reached = Counter(request_id for request_id, _, _ in site.journal.arrivals)
    told_at: dict[tuple[str, str], float] = {}
    for request_id, endpoint in site.journal.told_leaving:
        call = by_id.get(request_id)
        if call and call.is_complete and reached[request_id] == 1:
            key = (call.entry, endpoint)
            told_at[key] = min(call.ended_at, told_at.get(key, call.ended_at))
    entries = {entry.host: entry for entry in site.entries}
    for request_id, endpoint, at in site.journal.arrivals:
        call = by_id.get(request_id)
        since = call and told_at.get((call.entry, endpoint))
        if since is None or _is_interrupted(entries[call.entry], since, at):
            continue
        late = call.sent_at - since - DRAIN_BOUND_SECONDS - TOLERANCE_SECONDS
        if late > 0:
            yield f'{request_id} reached {endpoint}, which had said it leaves'


def kept_back_offs(site: Site, calls: list[Call]) -> Iterator[str]:
    """An entry sends an endpoint almost nothing in the time that it named.

    Entries that were killed, stopped or frozen in it are not counted, nor are
    endpoints that were cut off.
    """
    hosts = {call.request_id: call.entry for call in calls}
    entries = {entry.host: entry for entry in site.entries}
    by_pair: dict[tuple[str, str], list[TurnedAway]] = defaultdict(list)
    for refused in site.journal.turned_away:
        host = hosts.get(refused.request_id)
        if host is not None:
            by_pair[(host, refused.endpoint)].append(refused)
    for (host, endpoint), turned_away in by_pair.items():
        for first in turned_away:
            begin = first.at + _ARRIVAL_SECONDS + TOLERANCE_SECONDS
            late = [
                each for each in turned_away if begin < each.at < first.until
            ]
            if len(late) <= _LATE_ARRIVALS:
                continue
            span = (first.at, late[-1].at)
            cuts = site.endpoint_breaks.get(endpoint, ())
            if _is_interrupted(entries[host], *span) or _meets(span, cuts):
                continue
            yield f'{len(late)} requests of {host} reached {endpoint} too soon'


def kept_limits(site: Site, calls: list[Call]) -> Iterator[str]:
    """An endpoint gets no more calls in any time than its rate limit allows.

    Entries that were killed, stopped or frozen meanwhile are not counted.
    """
    hosts = {call.request_id: call.entry for call in calls}
    entries = {entry.host: entry for entry in site.entries}
    for limit in site.journal.limits:
        times = [
            at
            for request_id, endpoint, at in site.journal.arrivals
            if endpoint == limit.endpoint
            and limit.since + _TOLD_SECONDS <= at <= limit.until
            and request_id in hosts
            and not _is_interrupted(entries[hosts[request_id]], limit.since, at)
        ]
        allowed = 1.5 * limit.rate * _LIMIT_WINDOW_SECONDS + 5
        for first in times:
            window = [
                at for at in times if 0 <= at - first < _LIMIT_WINDOW_SECONDS
            ]
            if len(window) > allowed:
                yield f'{limit.endpoint} got {len(window)} calls, {limit.rate}'
                break


def timely_answers(site: Site, calls: list[Call]) -> Iterator[str]:
    """Every request ends at most half a second after its deadline.

    The tolerance for a busy machine is added to that. Requests to an entry
    with a recent fault of its own, and those whose caller disconnected, are
    not counted.
    """
    fault_ends = {entry.host: entry.fault_until for entry in site.entries}
    for call in calls:
        excused = (
            call.sent_at < fault_ends.get(call.entry, 0) + FAULT_GRACE_SECONDS
        )
        elapsed = call.ended_at - call.sent_at
        late = elapsed - call.deadline_seconds - TOLERANCE_SECONDS
        if late > TOLERANCE_SECONDS and not (call.has_disconnected or excused):
            yield f'{call.request_id} at {call.entry} took {elapsed:.2f} s'


def answered_requests(site: Site, calls: list[Call]) -> Iterator[str]:
    """Every request that an entry has read gets a whole answer or a refusal.

    Not counted are requests whose deadline has passed or whose caller left,
    that an endpoint broke off, or that were under way while a process was
    killed or suspended or their endpoint was cut off. Signals, changes of the
    configuration, faults of the store and silent endpoints excuse nothing,
    except that an entry that stops may cut off at the end of its time what an
    endpoint still works on.
    """
    arrivals: dict[str, set[str]] = defaultdict(set)
    for request_id, endpoint, _ in site.journal.arrivals:
        arrivals[request_id].add(endpoint)
    entries = {entry.host: entry for entry in site.entries}
    for call in calls:
        endpoints = arrivals[call.request_id]
        if call.is_complete or _is_ended_by_caller(call):
            continue
        if _is_broken_by_endpoint(site, call, endpoints):
            continue
        if _is_ended_by_entry(entries[call.entry], call, endpoints):
            continue
        seconds = call.ended_at - call.sent_at
        yield (
            f'{call.request_id} at {call.entry} ended after {seconds:.2f} s '
            f'with status {call.status}, {len(call.event_ids)} of '
            f'{call.expected_events} events, from {sorted(endpoints)}'
        )


def _is_ended_by_caller(call: Call) -> bool:
    has_expired = call.ended_at - call.sent_at >= call.deadline_seconds
    return call.has_disconnected or has_expired


def _is_broken_by_endpoint(site: Site, call: Call, endpoints: set[str]) -> bool:
    return call.request_id in site.journal.broken or any(
        _overlaps(call, site.endpoint_breaks.get(each, ()))
        for each in endpoints
    )


def _is_ended_by_entry(
    entry: EntryProcess, call: Call, endpoints: set[str]
) -> bool:
    """Return whether an entry may end a request without a whole answer."""
    is_never_read = call.is_unread and not call.status
    is_cut_by_stop = any(
        call.sent_at <= stopped_at + _STOP_ADMISSION_SECONDS
        and call.ended_at >= stopped_at + _STOP_CUT_SECONDS
        for stopped_at in entry.stops.values()
    )
    return (
        is_never_read
        or _overlaps(call, entry.breaks)
        or (bool(endpoints) and is_cut_by_stop)
    )


def _overlaps(call: Call, spans: Iterable[tuple[float, float]]) -> bool:
    return any(
        since <= call.ended_at and call.sent_at <= until
        for since, until in spans
    )


def _meets(
    span: tuple[float, float], others: Iterable[tuple[float, float]]
) -> bool:
    return any(since <= span[1] and span[0] <= until for since, until in others)


def _is_interrupted(entry: EntryProcess, since: float, until: float) -> bool:
    """Return whether an entry was killed, stopped or frozen in a time.

    One that is told to stop ends up to ``STOP_GRACE_SECONDS`` later.
    """
    stops = [
        (stopped_at, stopped_at + STOP_GRACE_SECONDS)
        for stopped_at in entry.stops.values()
    ]
    return _meets((since, until), (*entry.breaks, *stops))


def running_processes(site: Site, calls: list[Call]) -> Iterator[str]:
    """Check that no entry's process has ended by an error of its own."""
    for entry in site.entries:
        entry.note_own_end()
        for status in entry.own_ends:
            yield f'{entry.name} ended by itself with status {status}'


def hidden_requests(site: Site, calls: list[Call]) -> Iterator[str]:
    """Check that no request ran that stood in the body of another one."""
    for run in site.journal.runs:
        if run.request_id.startswith(INNER_ID):
            yield f'{run.request_id} ran at {run.endpoint}'


def free_memory(site: Site, calls: list[Call]) -> Iterator[str]:
    """No engine memory stays reserved after the last request."""
    for name, running in site.endpoints.items():
        held_tokens = running.endpoint.held_tokens()
        if held_tokens:
            yield f'{name} still holds {held_tokens} tokens'


ALWAYS: tuple[Check, ...] = (
    running_processes,
    hidden_requests,
    single_runs,
    true_refusals,
    whole_streams,
    own_accounts,
    revoked_keys,
    answered_requests,
    free_memory,
)
# Checks of times, which a busy machine can make fail.
TIMED: tuple[Check, ...] = (
    leaving_endpoints,
    told_endpoints,
    kept_back_offs,
    kept_limits,
    timely_answers,
)
