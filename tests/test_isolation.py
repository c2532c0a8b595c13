"""Tests that an isolated ticket runs alone at its endpoint."""

import trio
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.coordination.homes import policies
from limpetdrift.protocol.grants import GrantRelease, GrantRequest
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_endpoint, make_request
from virtual_time import run_in_virtual_time

steps = st.lists(
    st.tuples(st.booleans(), st.sampled_from([0.0, 0.05, 0.7, 2.5])),
    min_size=1,
    max_size=14,
)


async def run_tickets(script, result='overlaps'):
    """Run each ticket for half a second.

    Return which pairs of tickets overlapped, as pairs of their isolation
    flags, or with ``result='order'`` the order in which they finished.
    """
    site = Site(entries=1, engines=1)
    home, endpoint = site.homes[0], make_endpoint(0)
    running, overlaps, finished = {}, [], []

    async def run(number, isolated):
        request = make_request(number, isolated=isolated)
        granted = False
        while not granted:
            polled = await home.grant(
                GrantRequest(
                    endpoint=endpoint,
                    request=request,
                    owner='entry-0',
                    incarnation=1,
                    poll_seconds=2.0,
                ),
            )
            granted = polled.ok.granted
        overlaps.extend((isolated, other) for other in running.values())
        running[number] = isolated
        await trio.sleep(0.5)
        running.pop(number)
        finished.append(number)
        await home.release(
            GrantRelease(
                endpoint=endpoint,
                grant_id=polled.ok.grant_id,
                outcome=AttemptOutcome.FINISHED,
            )
        )

    with trio.fail_after(60):
        async with trio.open_nursery() as nursery:
            await nursery.start(home.run)
            async with trio.open_nursery() as runs:
                for number, (isolated, pause) in enumerate(script):
                    runs.start_soon(run, number, isolated)
                    await trio.sleep(pause)
            nursery.cancel_scope.cancel()
    assert len(finished) == len(script)
    return overlaps if result == 'overlaps' else finished


@given(steps)
def test_isolated_ticket_runs_alone(script):
    overlaps = run_in_virtual_time(lambda: run_tickets(script))
    assert not any(first or second for first, second in overlaps)


def test_isolated_ticket_starts_under_steady_load(monkeypatch):
    """Guards against an endless wait for an endpoint that is never idle.

    Under steady load, new tickets start before the earlier ones finish.
    """
    script = [(False, 0.1) for _ in range(40)]
    script[5] = (True, 0.1)
    order = run_in_virtual_time(lambda: run_tickets(script, result='order'))
    assert order.index(5) < 25
    monkeypatch.setattr(policies, '_awaits_isolation', lambda queue: False)
    order = run_in_virtual_time(lambda: run_tickets(script, result='order'))
    assert order.index(5) > 30


def test_tickets_overlap_without_isolation_check(monkeypatch):
    monkeypatch.setattr(policies, 'allows_isolation', lambda *_: True)
    script = [(False, 0.0), (True, 0.0)]
    overlaps = run_in_virtual_time(lambda: run_tickets(script))
    assert any(first or second for first, second in overlaps)
