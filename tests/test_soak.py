"""Tests of the soak's checks, and one short soak run."""

import dataclasses
from pathlib import Path
from types import SimpleNamespace

import pytest

from limpet_standins.platform_endpoints import Journal, Run
from soak import checks
from soak.callers import Call
from soak.run import SoakOptions, run_seed

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


def make_site(*runs: Run, **values: object) -> SimpleNamespace:
    held_tokens = values.pop('held_tokens', 0)
    endpoint = SimpleNamespace(held_tokens=lambda: held_tokens)
    journal = Journal(runs=list(runs))
    journal.arrivals = [(run.request_id, run.endpoint, run.at) for run in runs]
    journal.left_at = values.pop('left_at', {})
    return SimpleNamespace(
        journal=journal,
        revoked_at=values.pop('revoked_at', {}),
        entries=[SimpleNamespace(host='e', fault_until=0.0)],
        endpoints={'i-1': SimpleNamespace(endpoint=endpoint)},
    )


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
    (checks.timely_answers, make_site(), {'ended_at': NOW + 2.1}),
    (checks.free_memory, make_site(held_tokens=5), CALL),
)


@pytest.mark.parametrize('case', VIOLATIONS, ids=lambda case: case[0].__name__)
def test_each_check_reports_its_violation(case):
    check, site, *rest = case
    call = next((each for each in rest if isinstance(each, Call)), CALL)
    changes = next((each for each in rest if isinstance(each, dict)), {})
    assert list(check(site, [dataclasses.replace(call, **changes)]))


@pytest.mark.parametrize('check', (*checks.ALWAYS, *checks.TIMED))
def test_checks_report_nothing_on_valid_records(check):
    site = make_site(RUN)
    assert not list(check(site, [CALL, STREAM]))


def test_short_soak_run_has_no_violations():
    """Leaves out the checks of times, since the machine may be busy."""
    outcome = run_seed(
        SoakOptions(seed=7, entries=3, callers=4, seconds=6.0, is_timed=False),
    )
    assert outcome.violations == ()
    assert outcome.served


def test_soak_has_less_than_a_tenth_of_the_lines_of_src():
    tests = Path(__file__).parent
    source = tests.parent / 'src'

    def lines(folder: Path) -> int:
        return sum(
            len(path.read_text().splitlines()) for path in folder.rglob('*.py')
        )

    assert lines(tests / 'soak') * 10 < lines(source)
