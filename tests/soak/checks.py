"""The promises, checked from what callers and endpoints saw."""

from collections import Counter
from collections.abc import Callable, Iterator

from soak.callers import Call
from soak.site import LEAVING_SECONDS, REVOKE_SECONDS, Site

_PROMISES = frozenset((408, 421, 429, 503))
_OK = 200
# What a busy machine may add to times that are promised.
SLACK_SECONDS = 0.5
# A machine that was just troubled itself is excused for this long.
EXCUSED_SECONDS = 3.0

Check = Callable[[Site, list[Call]], Iterator[str]]


def single_runs(site: Site, calls: list[Call]) -> Iterator[str]:
    """What may run once runs once at most."""
    counts = Counter(run.request_id for run in site.journal.runs)
    for request_id, count in counts.items():
        if request_id.endswith('once') and count > 1:
            yield f'{request_id} ran {count} times'


def true_refusals(site: Site, calls: list[Call]) -> Iterator[str]:
    """A refusal that says not to have run is true, also later."""
    ran = {run.request_id for run in site.journal.runs}
    for call in calls:
        promised = call.status in _PROMISES
        if call.route == 'once' and promised and call.request_id in ran:
            yield f'{call.request_id} got {call.status} and has run'


def whole_streams(site: Site, calls: list[Call]) -> Iterator[str]:
    """No event is missing or doubled, and complete means all of them."""
    for call in calls:
        if call.route != 'text' or call.status != _OK:
            continue
        wanted = tuple(range(1, len(call.numbers) + 1))
        if call.numbers != wanted:
            yield f'{call.request_id} got events {call.numbers}'
        if call.is_whole and len(call.numbers) != call.expected:
            got = len(call.numbers)
            yield f'{call.request_id} complete with {got}/{call.expected}'


def own_accounts(site: Site, calls: list[Call]) -> Iterator[str]:
    """Endpoints get the key's account, and never the key."""
    accounts = {call.request_id: call.account for call in calls}
    for run in site.journal.runs:
        if run.has_key:
            yield f'{run.request_id} reached {run.endpoint} with its key'
        wanted = accounts.get(run.request_id, run.account)
        if wanted and run.account != wanted:
            yield f'{run.request_id} ran as {run.account}'


def revoked_keys(site: Site, calls: list[Call]) -> Iterator[str]:
    """A key that was taken away runs nothing after its time."""
    ran = {run.request_id for run in site.journal.runs}
    for call in calls:
        revoked = site.revoked_at.get(call.key)
        if revoked is None or call.request_id not in ran:
            continue
        late = call.sent_at - revoked - REVOKE_SECONDS
        if late > 0:
            yield f'{call.request_id} ran {late:.2f} s after its key'


def leaving_endpoints(site: Site, calls: list[Call]) -> Iterator[str]:
    """An endpoint that leaves gets nothing new after its time.

    Entries that were troubled are excused, so only arrivals that none of
    these can have sent are held against it.
    """
    entries = {call.request_id: call.entry for call in calls}
    troubled = {entry.host: entry.fault_until for entry in site.entries}
    for request_id, endpoint, at in site.journal.arrivals:
        left = site.journal.left_at.get(endpoint)
        if left is None:
            continue
        excused_until = troubled.get(entries.get(request_id, ''), 0.0)
        late = at - left - LEAVING_SECONDS - SLACK_SECONDS
        if late > 0 and at > excused_until + EXCUSED_SECONDS:
            yield f'{request_id} reached {endpoint} {late:.2f} s late'


def timely_answers(site: Site, calls: list[Call]) -> Iterator[str]:
    """Every request has its final answer half a second after its time."""
    troubled = {entry.host: entry.fault_until for entry in site.entries}
    for call in calls:
        excused = call.sent_at < troubled.get(call.entry, 0) + EXCUSED_SECONDS
        took = call.ended_at - call.sent_at
        late = took - call.deadline_seconds - SLACK_SECONDS
        if late > SLACK_SECONDS and not (call.has_left or excused):
            yield f'{call.request_id} at {call.entry} took {took:.2f} s'


def free_memory(site: Site, calls: list[Call]) -> Iterator[str]:
    """No memory stays set aside after the last request."""
    for name, served in site.endpoints.items():
        held = served.endpoint.held_tokens()
        if held:
            yield f'{name} still holds {held} tokens'


ALWAYS: tuple[Check, ...] = (
    single_runs,
    true_refusals,
    whole_streams,
    own_accounts,
    revoked_keys,
    free_memory,
)
# These need a machine that is not busy with other things.
TIMED: tuple[Check, ...] = (leaving_endpoints, timely_answers)
