"""Tests of the soak's checks, and one short soak run."""

import dataclasses
from collections.abc import Callable
from contextlib import aclosing
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from limpet_standins.platform_endpoints import (
    Journal,
    RateLimit,
    Run,
    TurnedAway,
)
from limpetdrift.transport.messages import Address, Request
from limpetdrift.transport.server import bound_address, listen
from soak import checks
from soak.builds import export_source, has_commit
from soak.callers import Call
from soak.connections import UnansweredError, connect
from soak.run import SoakOptions, reserve_ports, run_seed
from soak.upgrade import Replacement

NOW = 1000.0
CALL = Call(
    request_id='1-1-once',
    route='once',
    key='k',
    account='acme',
    entry='e',
    sent_at=NOW,
    ended_at=NOW + 0.1,
    deadline_seconds=1.0,
    status=200,
    is_complete=True,
)
RUN = Run(
    request_id='1-1-once',
    endpoint='i-1',
    at=NOW,
    account='acme',
    path='/once/x',
    has_key=False,
)
STREAM = dataclasses.replace(
    CALL,
    request_id='1-2-text',
    route='text',
    event_ids=(1, 2, 3),
    expected_events=3,
)

CUT = {'is_complete': False}
LATE = {'ended_at': NOW + 4.0}

# The build in production before this one.
EARLIER_BUILD = '6afa520'


def make_site(*runs: Run, **values: object) -> SimpleNamespace:
    held_tokens = values.pop('held_tokens', 0)
    endpoint = SimpleNamespace(held_tokens=lambda: held_tokens)
    journal = Journal(runs=list(runs))
    journal.arrivals = [(run.request_id, run.endpoint, run.at) for run in runs]
    journal.left_at = values.pop('left_at', {})
    journal.broken = values.pop('broken', set())
    journal.told_leaving = values.pop('told_leaving', [])
    journal.turned_away = values.pop('turned_away', [])
    journal.limits = values.pop('limits', [])
    return SimpleNamespace(
        journal=journal,
        revoked_at=values.pop('revoked_at', {}),
        entries=[
            SimpleNamespace(
                name='e',
                host='e',
                own_ends=values.pop('own_ends', []),
                note_own_end=bool,
                fault_until=0.0,
                breaks=values.pop('breaks', []),
                stops=values.pop('stops', {}),
            ),
        ],
        endpoint_breaks=values.pop('endpoint_breaks', {}),
        endpoints={'i-1': SimpleNamespace(endpoint=endpoint)},
    )


SOON = [
    TurnedAway(
        request_id=CALL.request_id,
        path='/once/x',
        endpoint='i-1',
        at=NOW + seconds,
        until=NOW + 3,
    )
    for seconds in (0, 1.1, 1.2, 1.3)
]

VIOLATIONS = (
    (checks.single_runs, make_site(RUN, RUN), CALL),
    (checks.true_refusals, make_site(RUN), {'status': 503}),
    (checks.whole_streams, make_site(), STREAM, {'event_ids': (1, 3)}),
    (checks.whole_streams, make_site(), STREAM, {'event_ids': (1, 2)}),
    (checks.whole_streams, make_site(), STREAM, {'event_ids': (1, 2, 2, 3)}),
    (checks.own_accounts, make_site(RUN), {'account': 'other'}),
    (
        checks.own_accounts,
        make_site(dataclasses.replace(RUN, has_key=True)),
        CALL,
    ),
    (
        checks.revoked_keys,
        make_site(RUN, revoked_at={'k': NOW - 5.1}),
        CALL,
    ),
    (checks.leaving_endpoints, make_site(RUN, left_at={'i-1': NOW - 3}), CALL),
    (checks.kept_back_offs, make_site(turned_away=SOON), CALL),
    (checks.timely_answers, make_site(), {'ended_at': NOW + 2.1}),
    (checks.answered_requests, make_site(RUN), CUT),
    (checks.answered_requests, make_site(), {'status': 0, **CUT}),
    (checks.answered_requests, make_site(stops={7: NOW - 1}), CUT),
    (checks.answered_requests, make_site(breaks=[(NOW - 2, NOW - 1)]), CUT),
    (checks.free_memory, make_site(held_tokens=5), CALL),
)


@pytest.mark.parametrize('case', VIOLATIONS, ids=lambda case: case[0].__name__)
def test_each_check_reports_its_violation(case):
    check, site, *rest = case
    call = next((each for each in rest if isinstance(each, Call)), CALL)
    changes = next((each for each in rest if isinstance(each, dict)), {})
    assert list(check(site, [dataclasses.replace(call, **changes)]))


def test_request_to_an_endpoint_that_had_said_it_leaves_is_reported():
    later = dataclasses.replace(
        CALL, request_id='2-1-once', sent_at=NOW + 3, ended_at=NOW + 4
    )
    late_run = dataclasses.replace(RUN, request_id='2-1-once', at=NOW + 3)
    site = make_site(RUN, late_run, told_leaving=[(RUN.request_id, 'i-1')])
    assert list(checks.told_endpoints(site, [CALL, later]))
    sooner = dataclasses.replace(later, sent_at=NOW + 1)
    assert not list(checks.told_endpoints(site, [CALL, sooner]))


@pytest.mark.parametrize(('rate', 'is_kept'), [(0.4, False), (1, True)])
def test_calls_to_an_endpoint_with_a_rate_limit_are_counted(rate, is_kept):
    runs = [
        dataclasses.replace(RUN, at=NOW + number / 3) for number in range(10)
    ]
    limit = RateLimit(endpoint='i-1', rate=rate, since=NOW - 5, until=NOW + 60)
    site = make_site(*runs, limits=[limit])
    assert is_kept == (not list(checks.kept_limits(site, [CALL])))


def test_few_requests_to_an_endpoint_in_back_off_are_allowed():
    site = make_site(turned_away=SOON[:-1])
    assert not list(checks.kept_back_offs(site, [CALL]))


EXCUSED = (
    (make_site(), {'status': 0, 'is_unread': True}),
    (make_site(), {'has_disconnected': True}),
    (make_site(), {'ended_at': NOW + 1}),
    (make_site(broken={'1-1-once'}), {}),
    (make_site(breaks=[(NOW + 0.05, NOW + 9)]), {}),
    (make_site(RUN, endpoint_breaks={'i-1': [(NOW - 9, NOW + 0.01)]}), {}),
    (make_site(RUN, stops={7: NOW - 2.9}), {'deadline_seconds': 9.0, **LATE}),
)


@pytest.mark.parametrize(('site', 'changes'), EXCUSED)
def test_request_may_end_without_an_answer_for_a_known_reason(site, changes):
    call = dataclasses.replace(CALL, **CUT, **changes)
    assert not list(checks.answered_requests(site, [call]))


async def call_unanswered(entry: Callable) -> bool:
    """Return whether the entry had not read the request that it cut off."""
    listeners = await listen(Address(host='127.0.0.1', port=0))
    request = Request(method='GET', path='/', headers=(('host', 'h'),))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, entry, listeners)
        connection = await connect(bound_address(listeners))
        await trio.sleep(0.05)
        try:
            async with aclosing(connection.call(request)) as answer:
                async for part in answer:
                    pytest.fail(f'received {part}')
        except UnansweredError as error:
            is_unread = error.is_unread
        connection.close()
        nursery.cancel_scope.cancel()
    return is_unread


def test_caller_knows_that_a_request_was_read_before_the_close():
    async def entry(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await trio.aclose_forcefully(stream)

    assert not trio.run(call_unanswered, entry)


@pytest.mark.parametrize('seconds', (0, 0.1), ids=('before', 'after'))
def test_caller_knows_that_a_request_crossed_the_close(seconds):
    async def entry(stream: trio.SocketStream) -> None:
        await trio.sleep(seconds)
        await trio.aclose_forcefully(stream)

    assert trio.run(call_unanswered, entry)


@pytest.mark.parametrize('check', (*checks.ALWAYS, *checks.TIMED))
def test_checks_report_nothing_on_valid_records(check):
    site = make_site(RUN)
    assert not list(check(site, [CALL, STREAM]))


def test_process_that_ends_by_itself_is_reported():
    site = make_site(RUN, own_ends=[1])
    assert list(checks.running_processes(site, [CALL]))


def test_run_of_a_request_that_stood_in_a_body_is_reported():
    hidden = dataclasses.replace(RUN, request_id='inner0')
    assert list(checks.hidden_requests(make_site(hidden), [CALL]))


def test_short_soak_run_beside_spoiled_inputs_has_no_violations():
    """Guards against what other writers send ending what entries accepted."""
    outcome = run_seed(
        SoakOptions(
            seed=93001,
            entries=3,
            callers=4,
            seconds=6.0,
            is_timed=False,
            is_spoiled=True,
        ),
    )
    assert outcome.violations == ()
    assert outcome.served


@pytest.mark.alone
def test_short_soak_run_beside_crowds_has_no_violations():
    """Guards against crowds that end an entry beside kills and outages."""
    outcome = run_seed(
        SoakOptions(
            seed=95001,
            entries=3,
            callers=4,
            seconds=6.0,
            is_timed=False,
            is_crowded=True,
        ),
    )
    assert outcome.violations == ()
    assert outcome.served


@pytest.mark.parametrize('seed', (7, 2201), ids=('engines', 'one-engine'))
def test_short_soak_run_has_no_violations(seed):
    """Leaves out the checks of times, since the machine may be busy."""
    outcome = run_seed(
        SoakOptions(
            seed=seed, entries=3, callers=4, seconds=6.0, is_timed=False
        ),
    )
    assert outcome.violations == ()
    assert outcome.served


def test_short_soak_run_with_an_earlier_build_has_no_violations(tmp_path):
    """Guards against messages and rows that another build can't read."""
    if not has_commit(EARLIER_BUILD):
        pytest.skip(f'the history has no {EARLIER_BUILD}')
    outcome = run_seed(
        SoakOptions(
            seed=7,
            entries=3,
            callers=4,
            seconds=6.0,
            is_timed=False,
            production=export_source(EARLIER_BUILD, tmp_path / 'build'),
        ),
    )
    assert outcome.violations == ()
    assert outcome.served


def test_two_runs_of_one_seed_use_different_ports():
    """Else the callers of each reach the entries of the other."""
    with reserve_ports(7) as first, reserve_ports(7) as second:
        assert first != second


def test_replacement_of_entries_counts_whole_answers_as_served():
    """Guards against a cut or refused answer that counts as served."""
    cut = dataclasses.replace(CALL, is_complete=False)
    refused = dataclasses.replace(CALL, status=503, ended_at=NOW + 2)
    found = Replacement(calls=(CALL, CALL, cut, refused), seconds=9.0)
    assert found.served_share == 0.5
    assert found.slowest_seconds > 1


def test_soak_has_less_than_a_tenth_of_the_lines_of_src():
    tests = Path(__file__).parent
    source = tests.parent / 'src'

    def lines(folder: Path) -> int:
        return sum(
            len(path.read_text().splitlines()) for path in folder.rglob('*.py')
        )

    assert lines(tests / 'soak') * 10 < lines(source)
