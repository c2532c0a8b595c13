"""Entries that leave, one and several at once, cut off no request."""

import random
from dataclasses import dataclass, field

import pytest
import trio
from trio.lowlevel import checkpoint

from limpetdrift.coordination.discovery import make_answer
from limpetdrift.coordination.drain import Drain, DrainTiming
from limpetdrift.protocol.verdict import Reason, Verdict
from member_cluster import Cluster, wait_for
from virtual_time import run_in_virtual_time

ENTRIES = 6
CALLERS = 24
LONGEST_SECONDS = 25.0
DEADLINE_SECONDS = 20.0
PAUSE_SECONDS = 0.5
WATCH_SECONDS = 120.0


@dataclass(kw_only=True)
class Tally:
    """What callers met."""

    whole: int = 0
    cut: int = 0
    refused: int = 0
    unreachable: int = 0
    nowhere: int = 0
    given_up: int = 0
    ended: list = field(default_factory=list)


class Entry:
    """One process: its drain, and the requests that it runs."""

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
    """Entries by caller address, and callers that keep their answers."""

    def __init__(self, *, nursery, seed, timing):
        self.tally = Tally()
        self.entries = {}
        self.random = random.Random(seed)
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
        self.tally.ended.append((index, trio.current_time()))
        for scope in entry.running:
            scope.cancel()
        self.entries.pop(str(entry.membership.node.caller_address))
        self.cluster.kill(index)

    async def call_on(self):
        """Send requests for ever, as the client library does."""
        known, fresh_until = (), 0.0
        while True:
            deadline = trio.current_time() + DEADLINE_SECONDS
            while True:
                if trio.current_time() >= fresh_until:
                    known, fresh_until = await self._discover(known)
                outcome = await self._send(self.random.choice(known))
                if outcome is None:
                    break
                known = (*known, *outcome)
                await trio.sleep(PAUSE_SECONDS)
                if trio.current_time() > deadline:
                    self.tally.given_up += 1
                    break
            await trio.sleep(self.random.uniform(0, PAUSE_SECONDS))

    async def _discover(self, known):
        if not self.entries:
            return known, 0.0
        reachable = [each for each in known if each in self.entries]
        asked = self.random.choice(reachable or sorted(self.entries))
        membership = self.entries[asked].membership
        answer = make_answer(membership, self.random)
        await trio.sleep(0.002)
        found = tuple(each.address for each in answer.entries)
        return found, trio.current_time() + answer.max_age_seconds

    async def _send(self, address):
        """Send one request; return where else to go, if it did not run."""
        await trio.sleep(0.001)
        entry = self.entries.get(address)
        if entry is None:
            self.tally.unreachable += 1
            return ()
        admitted = entry.drain.admit()
        if admitted.is_error():
            self.tally.refused += 1
            assert admitted.error.verdict is Verdict.NOT_RUN
            assert admitted.error.reason is Reason.DRAINING
            self.tally.nowhere += not admitted.error.alternatives
            assert address not in admitted.error.alternatives
            return admitted.error.alternatives
        with trio.CancelScope() as scope:
            entry.running.add(scope)
            await trio.sleep(self.random.uniform(0.1, LONGEST_SECONDS))
            entry.running.remove(scope)
            self.tally.whole += 1
            return None
        self.tally.cut += 1
        return ()


def run_drain(script, seed=1, **timing):
    """Run callers over a script of drains; return what they met."""
    drain_timing = DrainTiming(
        max_deadline_seconds=LONGEST_SECONDS + 1, **timing
    )
    tallies = []

    async def body():
        async with trio.open_nursery() as nursery:
            site = Site(nursery=nursery, seed=seed, timing=drain_timing)
            entries = [site.start(index) for index in range(ENTRIES)]
            await wait_for(site.cluster.has_converged, 30)
            for _ in range(CALLERS):
                nursery.start_soon(site.call_on)
            await trio.sleep(30)
            await script(nursery, site, entries)
            await trio.sleep(WATCH_SECONDS)
            tallies.append(site.tally)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body, seed=seed)
    return tallies[0]


def drain_some(count):
    async def script(nursery, site, entries):
        for index in range(count):
            nursery.start_soon(site.leave, index, entries[index])

    return script


def replace_all(seconds_later):
    """Drain all at once; others take their place a while later."""

    async def script(nursery, site, entries):
        await drain_some(ENTRIES)(nursery, site, entries)
        await trio.sleep(seconds_later)
        for index in range(ENTRIES, 2 * ENTRIES):
            site.start(index)

    return script


@pytest.mark.parametrize('count', [1, 4])
def test_callers_notice_nothing_of_a_drain(count):
    tally = run_drain(drain_some(count))
    assert len(tally.ended) == count
    assert tally.whole > 100
    met = (tally.cut, tally.refused, tally.unreachable, tally.given_up)
    assert met == (0, 0, 0, 0)


def test_without_serving_on_callers_are_turned_away():
    tally = run_drain(drain_some(4), drain_grace_seconds=0.0)
    assert tally.refused + tally.unreachable > 0
    assert not tally.cut


def test_without_waiting_for_streams_requests_are_cut(monkeypatch):
    async def at_once(entry):
        await checkpoint()

    monkeypatch.setattr(Entry, 'wait_until_idle', at_once)
    assert run_drain(drain_some(1)).cut


def test_all_at_once_serve_on_until_others_are_there():
    tally = run_drain(replace_all(seconds_later=40))
    assert len(tally.ended) == ENTRIES
    assert (tally.cut, tally.nowhere, tally.given_up) == (0, 0, 0)


def test_without_serving_on_alone_callers_have_nowhere_to_go():
    tally = run_drain(replace_all(seconds_later=40), successor_wait_seconds=0.0)
    assert tally.nowhere
    assert tally.given_up
