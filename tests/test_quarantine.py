"""A request that crashes endpoints crashes at most two of them.

The state machine's rules write a script of harmless requests, of requests
with a prompt that crashes engines ("poison"), of resends of the latter under
other keys and at other entries, and of faults. The script runs in virtual
time with real run registries and quarantines, and fake engines.
"""

import random
from contextlib import asynccontextmanager

import pytest
import trio
from expression import Result
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from fake_engine import (
    PREFILL_SECONDS,
    TOKEN_SECONDS,
    FakeEngineCalls,
    whole_text,
)
from fake_network import FakeNetwork
from limpetdrift.coordination.administration.quarantine_routes import (
    add_quarantine_routes,
)
from limpetdrift.coordination.crashes.guarded_attempt import EndpointProbe
from limpetdrift.coordination.crashes.isolation_leases import IsolationLeases
from limpetdrift.coordination.crashes.quarantine import (
    Quarantine,
    QuarantineInputs,
)
from limpetdrift.coordination.crashes.quarantine_replication import (
    QuarantineReplicator,
)
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.runs.run_execution import (
    RunInputs,
    execute_run,
    refuse_non_idempotent,
)
from limpetdrift.coordination.runs.run_registry import RunRegistry
from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.operator import (
    OPERATOR_SECRET_HEADER,
    QUARANTINE_PATH,
    QuarantineRequest,
)
from limpetdrift.protocol.placement import Placement
from limpetdrift.protocol.quarantine import QuarantineState
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.run import RunRequest
from limpetdrift.state.suspects import CrashSuspects
from limpetdrift.transport.messages import Request
from limpetdrift.transport.routing import Routes
from limpetdrift.verdict import Reason, Verdict, not_run
from placement_site import make_node
from virtual_time import run_in_virtual_time

ENGINES = 4
ENTRIES = 3
DEADLINE_SECONDS = 60.0
# Time from the start of a poisoned prompt to the engine's crash.
POISON_SECONDS = 0.06
RESTART_SECONDS = 1.0
# Time within which a state change reaches all entries.
REPLICATION_SECONDS = 0.05
POISONS = ('poison A', 'poison B')

entry_numbers = st.integers(0, ENTRIES - 1)
poisons = st.sampled_from(POISONS)


class PoisonEngines(FakeEngineCalls):
    """Fake engines that crash on some prompts; placement respects isolation."""

    def __init__(self, nursery):
        super().__init__(count=ENGINES)
        self.nursery = nursery
        self.granted = {engine.endpoint.name: {} for engine in self.engines}
        self.deaths = []

    def endpoints(self):
        return tuple(engine.endpoint for engine in self.engines)

    async def probe_endpoint(self, endpoint):
        await trio.sleep(0.001)
        engine = self.at(endpoint.address)
        if not engine.alive:
            return Result.Error(not_run(Reason.CONNECT_FAILED))
        now = trio.current_time()
        running = sum(
            expected_end(start, started_at) > now
            for start, started_at in engine.streams.values()
        )
        return Result.Ok(
            EndpointProbe(incarnation=engine.incarnation, streams=running)
        )

    async def place(self, request):
        while True:
            await trio.sleep(0.001)
            for engine in sorted(self.engines, key=self.placement_order):
                name = engine.endpoint.name
                if name in request.excluded or not engine.alive:
                    continue
                if self.may_share(name, request):
                    self.placements += 1
                    grant = str(self.placements)
                    self.granted[name][grant] = request.isolated
                    return Result.Ok(
                        Placement(endpoint=engine.endpoint, grant_id=grant)
                    )
            await trio.sleep(0.01)

    def placement_order(self, engine):
        # The fullest engine first, so that harmless requests run beside poison.
        return -len(self.granted[engine.endpoint.name])

    def may_share(self, name, request):
        granted = self.granted[name]
        if request.isolated:
            return not granted
        return not any(granted.values()) and len(granted) < 8

    def release(self, placement, ending):
        self.granted[placement.endpoint.name].pop(placement.grant_id, None)

    @asynccontextmanager
    async def start(self, address, start):
        engine = self.at(address)
        async with super().start(address, start) as lines:
            if 'poison' in start.prompt:
                self.nursery.start_soon(
                    self.die, engine, start.prompt, engine.incarnation
                )
            yield lines

    def crash(self, number):
        """Crash an engine for a cause that is no request's fault.

        An engine on which a suspect runs isolated is spared, since such a
        crash can't be told from one that the suspect caused.
        """
        engine = self.engines[number]
        if not any(self.granted[engine.endpoint.name].values()):
            self.nursery.start_soon(self.go_down, engine)

    async def go_down(self, engine):
        engine.kill()
        await trio.sleep(RESTART_SECONDS)
        engine.restart()

    async def die(self, engine, prompt, incarnation):
        started_at = trio.current_time()
        await trio.sleep(POISON_SECONDS)
        if engine.incarnation != incarnation:
            return
        self.deaths.append((prompt, started_at, trio.current_time()))
        await self.go_down(engine)


def expected_end(start, started_at):
    left = start.max_tokens - start.start_offset + 1
    return started_at + PREFILL_SECONDS + left * TOKEN_SECONDS


class Entry:
    """One entry's run registry and quarantine, on shared engines."""

    def __init__(self, number, harness):
        self.alive = True
        self.scope = trio.CancelScope()
        self.node = make_node(number)
        routes = PeerRoutes()
        self.quarantine = Quarantine(
            inputs=QuarantineInputs(
                node=self.node,
                live_entries=harness.live_nodes,
                endpoints=harness.engines.endpoints,
                call=harness.network.add_peer(self.node.peer_address, routes),
                probe_endpoint=harness.engines.probe_endpoint,
            )
        )
        self.quarantine.register(routes)

    async def run(self, harness, *, task_status):
        with self.scope:
            async with trio.open_nursery() as nursery:
                run_inputs = RunInputs(
                    name=self.node.name,
                    incarnation=1,
                    engine=harness.engines,
                    place=harness.engines.place,
                    release=harness.engines.release,
                    run_at_most_once=refuse_non_idempotent,
                    report_failure=lambda endpoint, failure: None,
                    budget=RetryBudget(reserve=1000.0),
                    nursery=nursery,
                    randomness=random.Random(1),
                    guard=self.quarantine.guard,
                )
                self.run_registry = RunRegistry(
                    name=self.node.name,
                    incarnation=1,
                    randomness=random.Random(2),
                    execute=lambda run: execute_run(run_inputs, run),
                    nursery=nursery,
                )
                nursery.start_soon(self.quarantine.run)
                task_status.started()
                await trio.sleep_forever()


class QuarantineHarness:
    """The entries, engines and network that a script runs against."""

    def __init__(self, nursery):
        self.network = FakeNetwork(seed=1)
        self.engines = PoisonEngines(nursery)
        self.entries = []
        self.runs = []

    def live_nodes(self):
        return tuple(entry.node for entry in self.entries if entry.alive)

    async def start(self, nursery):
        for number in range(ENTRIES):
            entry = Entry(number, self)
            self.entries.append(entry)
            await nursery.start(entry.run, self)

    def send(self, number, prompt, tokens=10):
        entry = self.entries[number]
        if not entry.alive:
            return None
        handle = entry.run_registry.make_handle()
        request = RunRequest(
            handle=handle,
            key=handle,
            account='kona',
            model='m',
            prompt=prompt,
            prompt_tokens=8,
            max_tokens=tokens,
            urgency=0,
            deadline=trio.current_time() + DEADLINE_SECONDS,
            fingerprint=prompt,
        )
        run = entry.run_registry.submit(request).ok
        self.runs.append((entry, run))
        return run

    def kill_entry(self, number):
        entry = self.entries[number]
        entry.alive = False
        self.network.kill(entry.node.peer_address)
        entry.scope.cancel()


class QuarantineMachine(RuleBasedStateMachine):
    """Writes a script of requests and faults, then runs and checks it."""

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(number=entry_numbers, tokens=st.integers(1, 100))
    def innocent(self, number, tokens):
        self.script.append(('send', number, f'note {len(self.script)}', tokens))

    @rule(number=entry_numbers, prompt=poisons)
    def poison(self, number, prompt):
        self.script.append(('send', number, prompt, 10))

    @rule(number=st.integers(1, ENTRIES - 1))
    def kill_entry(self, number):
        self.script.append(('kill', number))

    @rule(number=st.integers(0, ENGINES - 1))
    def crash_engine(self, number):
        self.script.append(('crash', number))

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 2.0]))
    def wait(self, seconds):
        self.script.append(('wait', seconds))

    def teardown(self):
        run_in_virtual_time(self.play)

    async def play(self):
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                harness = QuarantineHarness(nursery)
                await harness.start(nursery)
                for verb, *subject in self.script:
                    await play_step(harness, verb, *subject)
                await wait_all(harness)
                await trio.sleep(REPLICATION_SECONDS)
                check_deaths(harness)
                await check_refused(harness)
                nursery.cancel_scope.cancel()
        for entry, run in harness.runs:
            if entry.alive:
                check_run(run)


async def play_step(harness, verb, *subject):
    if verb == 'send':
        harness.send(*subject)
    elif verb == 'wait':
        await trio.sleep(*subject)
    elif verb == 'kill':
        harness.kill_entry(*subject)
    else:
        harness.engines.crash(*subject)


async def wait_all(harness):
    for entry, run in harness.runs:
        if entry.alive:
            await run.wait_ended()


def check_deaths(harness):
    """Check that a request crashes at most one endpoint after the first.

    Only deaths by attempts that began after the first crash was replicated
    count. Each killed entry may add one.
    """
    lost_entries = ENTRIES - len(harness.live_nodes())
    for prompt in POISONS:
        deaths = [each for each in harness.engines.deaths if each[0] == prompt]
        replicated_at = deaths[0][2] + REPLICATION_SECONDS if deaths else 0
        later = [each for each in deaths if each[1] > replicated_at]
        assert len(later) <= 1 + lost_entries


async def check_refused(harness):
    """Check that all entries refuse the requests that crashed two endpoints."""
    before = len(harness.engines.deaths)
    for number, entry in enumerate(harness.entries):
        for prompt in POISONS:
            found = entry.quarantine.suspects.find(prompt)
            refused = found and found.standing is QuarantineState.REFUSED
            if entry.alive and refused:
                run = harness.send(number, prompt)
                await run.wait_ended()
                assert run.failure.reason is Reason.QUARANTINED
                assert run.failure.verdict is Verdict.NOT_RUN
                assert run.failure.retry_after_seconds > 0
    assert len(harness.engines.deaths) == before
    alive = [each for each in harness.entries if each.alive]
    refused = [refused_prompts(each) for each in alive]
    assert all(each == refused[0] for each in refused)


def refused_prompts(entry):
    refusal = entry.quarantine.refusal
    return [prompt for prompt in POISONS if refusal(prompt)]


def check_run(run):
    request = run.request
    if 'poison' in request.prompt:
        assert run.failure is not None
        return
    assert run.failure is None, run.failure
    assert run.text == whole_text(request)


def test_crashing_request_crashes_at_most_two_endpoints():
    thorough = settings(max_examples=100)
    run_state_machine_as_test(QuarantineMachine, settings=thorough)


async def take_any_turn(leases, fingerprint, seconds):
    await trio.sleep(0.001)
    return True


@pytest.mark.parametrize(
    ('target', 'name', 'replacement'),
    [
        (CrashSuspects, 'is_suspect', lambda suspects, fingerprint: False),
        (CrashSuspects, 'note_crash', lambda suspects, *_: None),
        (QuarantineReplicator, 'add', lambda replicator, record: None),
        (IsolationLeases, 'try_acquire', take_any_turn),
        (Quarantine, 'refusal', lambda quarantine, fingerprint: None),
    ],
)
def test_state_machine_fails_without_safeguard(
    monkeypatch, target, name, replacement
):
    monkeypatch.setattr(target, name, replacement)
    quick = settings(max_examples=200, phases=[Phase.generate])
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(QuarantineMachine, settings=quick)


def test_operator_refusal_and_release_reach_every_entry():
    run_in_virtual_time(check_operator_requests)


async def check_operator_requests():
    async with trio.open_nursery() as nursery:
        harness = QuarantineHarness(nursery)
        await harness.start(nursery)
        first, _, last = harness.entries
        routes = Routes()
        add_quarantine_routes(routes, first.quarantine, 'secret')
        assert (await set_refusal(routes, 'wrong', 60.0)).status == 403
        listed = await set_refusal(routes, 'secret', 60.0)
        assert b'"fingerprint":"note"' in listed.body
        await trio.sleep(REPLICATION_SECONDS)
        assert last.quarantine.refusal('note').retry_after_seconds > 50
        assert (
            await set_refusal(routes, 'secret', 0)
        ).body == b'{"fingerprints":[]}'
        await trio.sleep(REPLICATION_SECONDS)
        assert last.quarantine.refusal('note') is None
        nursery.cancel_scope.cancel()


async def set_refusal(routes, secret, seconds):
    body = encode(QuarantineRequest(fingerprint='note', seconds=seconds))
    exchange = RecordedExchange(
        Request(
            method='POST',
            path=QUARANTINE_PATH,
            headers=((OPERATOR_SECRET_HEADER, secret),),
            body=body,
        )
    )
    await routes.handle(exchange)
    return exchange.response


class RecordedExchange:
    def __init__(self, request):
        self.request = request

    async def respond(self, response):
        self.response = response


def test_digest_exchange_recovers_a_missed_push():
    run_in_virtual_time(check_digest_recovery)


async def check_digest_recovery():
    async with trio.open_nursery() as nursery:
        harness = QuarantineHarness(nursery)
        await harness.start(nursery)
        first, _, last = harness.entries
        harness.network.isolate(last.node.peer_address)
        first.quarantine.set_refusal('note', 'kona', 60.0)
        await trio.sleep(5)
        assert last.quarantine.refusal('note') is None
        harness.network.heal()
        digest = first.quarantine.replicator.make_digest()
        last.quarantine.replicator.on_digest(first.node.name, digest)
        await trio.sleep(REPLICATION_SECONDS)
        assert last.quarantine.refusal('note') is not None
        nursery.cancel_scope.cancel()
