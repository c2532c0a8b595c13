"""Drains of one or several entries at once interrupt no request."""

import random
from dataclasses import dataclass, field

import pytest
import trio
from trio.lowlevel import checkpoint

from limpetdrift.coordination.membership.discovery import make_answer
from limpetdrift.coordination.membership.drain import Drain, DrainTiming
from limpetdrift.verdict import Reason, Verdict
from member_cluster import Cluster, wait_for
from virtual_time import run_in_virtual_time

ENTRIES = 6
CALLERS = 24
MAX_REQUEST_SECONDS = 25.0
DEADLINE_SECONDS = 20.0
RETRY_INTERVAL_SECONDS = 0.5
OBSERVATION_SECONDS = 120.0


@dataclass(kw_only=True)
class CallerOutcomes:
    """Counts of what happened to the callers' requests.

    ``ended`` lists the drained entries, each with the time of its end.
    """

    completed: int = 0
    interrupted: int = 0
    refused: int = 0
    unreachable: int = 0
    without_alternatives: int = 0
    deadline_passed: int = 0
    ended: list = field(default_factory=list)


class Entry:
    """One entry process: its drain, and the requests that it runs."""

    def __init__(self, *, membership, timing):
        self.membership = membership
        self.running = set()
        self.drain = Drain(
            membership=membership,
            wait_until_idle=self.wait_until_idle,
            timing=timing,
            randomness=random.Random(7),
        )

    async def wait_until_idle(self):
        while self.running:  # noqa: ASYNC110
            await trio.sleep(0.01)


class Site:
    """Entries by caller address, and callers that cache discovery answers."""

    def __init__(self, *, nursery, seed, timing):
        self.outcomes = CallerOutcomes()
        self.entries = {}
        self.randomness = random.Random(seed)
        self.cluster = Cluster(nursery=nursery, seed=seed)
        self._timing = timing

    def start(self, index):
        membership = self.cluster.start(index)
        address = str(membership.node.caller_address)
        entry = Entry(membership=membership, timing=self._timing)
        self.entries[address] = entry
        return entry

    async def leave(self, index, entry):
        """Drain the entry; then its process ends."""
        await entry.drain.run()
        self.outcomes.ended.append((index, trio.current_time()))
        for scope in entry.running:
            scope.cancel()
        self.entries.pop(str(entry.membership.node.caller_address))
        self.cluster.kill(index)

    async def send_requests(self):
        """Send requests without end, as the client library does."""
        addresses, fresh_until = (), 0.0
        while True:
            deadline = trio.current_time() + DEADLINE_SECONDS
            while True:
                if trio.current_time() >= fresh_until:
                    addresses, fresh_until = await self._discover(addresses)
                outcome = await self._send(self.randomness.choice(addresses))
                if outcome is None:
                    break
                addresses = (*addresses, *outcome)
                await trio.sleep(RETRY_INTERVAL_SECONDS)
                if trio.current_time() > deadline:
                    self.outcomes.deadline_passed += 1
                    break
            await trio.sleep(self.randomness.uniform(0, RETRY_INTERVAL_SECONDS))

    async def _discover(self, addresses):
        if not self.entries:
            return addresses, 0.0
        reachable = [each for each in addresses if each in self.entries]
        contacted = self.randomness.choice(reachable or sorted(self.entries))
        membership = self.entries[contacted].membership
        answer = make_answer(membership, self.randomness)
        await trio.sleep(0.002)
        found = tuple(each.address for each in answer.entries)
        return found, trio.current_time() + answer.max_age_seconds

    async def _send(self, address):
        """Send one request; return alternatives, or None if it completed."""
        await trio.sleep(0.001)
        entry = self.entries.get(address)
        if entry is None:
            self.outcomes.unreachable += 1
            return ()
        admitted = entry.drain.admit()
        if admitted.is_error():
            self.outcomes.refused += 1
            assert admitted.error.verdict is Verdict.NOT_RUN
            assert admitted.error.reason is Reason.DRAINING
            self.outcomes.without_alternatives += (
                not admitted.error.alternatives
            )
            assert address not in admitted.error.alternatives
            return admitted.error.alternatives
        with trio.CancelScope() as scope:
            entry.running.add(scope)
            await trio.sleep(self.randomness.uniform(0.1, MAX_REQUEST_SECONDS))
            entry.running.remove(scope)
            self.outcomes.completed += 1
            return None
        self.outcomes.interrupted += 1
        return ()


def run_drain(script, seed=1, **timing):
    """Run callers during a script of drains; return their outcomes."""
    drain_timing = DrainTiming(
        max_deadline_seconds=MAX_REQUEST_SECONDS + 1, **timing
    )
    results = []

    async def body():
        async with trio.open_nursery() as nursery:
            site = Site(nursery=nursery, seed=seed, timing=drain_timing)
            entries = [site.start(index) for index in range(ENTRIES)]
            await wait_for(site.cluster.has_converged, 30)
            for _ in range(CALLERS):
                nursery.start_soon(site.send_requests)
            await trio.sleep(30)
            await script(nursery, site, entries)
            await trio.sleep(OBSERVATION_SECONDS)
            results.append(site.outcomes)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body, seed=seed)
    return results[0]


def drain_some(count):
    async def script(nursery, site, entries):
        for index in range(count):
            nursery.start_soon(site.leave, index, entries[index])

    return script


def replace_all(seconds_later):
    """Drain all entries at once; start their successors some time later."""

    async def script(nursery, site, entries):
        await drain_some(ENTRIES)(nursery, site, entries)
        await trio.sleep(seconds_later)
        for index in range(ENTRIES, 2 * ENTRIES):
            site.start(index)

    return script


@pytest.mark.parametrize('count', [1, 4])
def test_drain_fails_no_request(count):
    outcomes = run_drain(drain_some(count))
    assert len(outcomes.ended) == count
    assert outcomes.completed > 100
    failures = (
        outcomes.interrupted,
        outcomes.refused,
        outcomes.unreachable,
        outcomes.deadline_passed,
    )
    assert failures == (0, 0, 0, 0)


def test_callers_are_refused_without_a_grace_period():
    outcomes = run_drain(drain_some(4), drain_grace_seconds=0.0)
    assert outcomes.refused + outcomes.unreachable > 0
    assert not outcomes.interrupted


def test_requests_are_interrupted_without_waiting_for_streams(monkeypatch):
    async def at_once(entry):
        await checkpoint()

    monkeypatch.setattr(Entry, 'wait_until_idle', at_once)
    assert run_drain(drain_some(1)).interrupted


def test_entries_that_all_drain_accept_requests_until_successors_start():
    outcomes = run_drain(replace_all(seconds_later=40))
    assert len(outcomes.ended) == ENTRIES
    assert (
        outcomes.interrupted,
        outcomes.without_alternatives,
        outcomes.deadline_passed,
    ) == (0, 0, 0)


def test_callers_have_no_alternative_without_waiting_for_successors():
    outcomes = run_drain(
        replace_all(seconds_later=40), successor_wait_seconds=0.0
    )
    assert outcomes.without_alternatives
    assert outcomes.deadline_passed
