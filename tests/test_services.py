"""Calls to plain services: at most one run, true verdicts, first answers.

The state machine writes a script of calls, of resends to any entry, and of
faults of instances, entries and the table service. The script runs in
virtual time against real service callers and claims; the outcomes are then
checked against the instances' journals.
"""

import random
from collections import deque

import pytest
import trio
from expression import Result
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from claim_harness import FakeObjects
from fake_network import FakeNetwork
from fake_table import FakeTable
from limpet_standins.service import make_service
from limpetdrift.callers.access import hash_key
from limpetdrift.callers.services import ServiceInputs, add_service_routes
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.services import service_caller as services_module
from limpetdrift.coordination.services.at_most_once_calls import AtMostOnceCalls
from limpetdrift.coordination.services.service_caller import ServiceCaller
from limpetdrift.coordination.services.service_messages import ServiceRequest
from limpetdrift.protocol import service as service_module
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.protocol.service import ServiceCalls, ServiceLoad
from limpetdrift.state.claims import ClaimStore
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.service_balancer import LEAVING_SECONDS
from limpetdrift.state.site import AccountConfig, ServiceConfig, SiteConfig
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, bound_address, listen
from limpetdrift.verdict import Reason, Verdict, may_have_run, not_run
from virtual_time import run_in_virtual_time

INSTANCES = 3
ENTRIES = 3
WORK_SECONDS = 0.05
# Tolerance of the check that calls end by their deadlines.
DEADLINE_TOLERANCE_SECONDS = 0.001
CALL_FAULTS = (
    'leaving',
    'overloaded',
    'lose-request',
    'lose-answer',
    'cross',
    'hang',
)
TABLE_FAULTS = ('down', 'up', 'up', 'lose_answers', 'lose_requests')

instance_numbers = st.integers(0, INSTANCES - 1)
entry_numbers = st.integers(0, ENTRIES - 1)


class Instance:
    """A fake service instance with its faults to come and its journal."""

    def __init__(self, number):
        self.endpoint = Endpoint(
            name=f'kiosk-desk-{number}',
            role=Role.SERVICE,
            address=Address(host='127.0.0.1', port=9000 + number),
            failure_domain='a',
            service='kiosk-desk',
        )
        self.alive = True
        self.faults = deque()
        self.journal = []
        self.run_count = 0


class FakeServiceCalls:
    """A fake of ``ServiceCalls`` with several instances."""

    def __init__(self):
        self.instances = [Instance(number) for number in range(INSTANCES)]

    def endpoints(self):
        return tuple(instance.endpoint for instance in self.instances)

    async def load(self, address):
        await trio.sleep(0.001)
        return Result.Ok(ServiceLoad(in_flight=0, capacity=8))

    async def call(self, address, call, *, timeout_seconds):
        with trio.move_on_after(timeout_seconds):
            return await self.answer(self.instances[address.port - 9000], call)
        return Result.Error(may_have_run(Reason.TIMEOUT))

    async def answer(self, instance, call):
        await trio.sleep(0.001)
        if not instance.alive:
            return Result.Error(not_run(Reason.CONNECT_FAILED))
        fault = instance.faults.popleft() if instance.faults else ''
        answer = self.run(instance, call, fault)
        if fault == 'hang':
            await trio.sleep_forever()
        await trio.sleep(WORK_SECONDS)
        if not instance.alive or fault.startswith('lose'):
            return Result.Error(may_have_run(Reason.CONNECTION_BROKEN))
        # The code under test recognizes refusals and answers to other calls.
        return service_module._read_answer(call, answer)

    def run(self, instance, call, fault):
        path = call.request.path
        identity = (
            ('x-request-key', call.request_key),
            ('x-attempt', str(call.attempt)),
        )
        if fault in {'leaving', 'overloaded'}:
            body = b'{"code":"%s"}' % fault.encode()
            return Response(status=503, headers=identity, body=body)
        if fault != 'lose-request':
            instance.journal.append((call.request_key, path))
        if fault == 'cross':
            identity = (('x-request-key', 'another'), ('x-attempt', '1'))
            return Response(status=200, headers=identity, body=b'not yours')
        instance.run_count += 1
        body = f'{path} ran at {instance.endpoint} as {instance.run_count}'
        return Response(status=200, headers=identity, body=body.encode())


class Entry:
    """One entry's service caller and claims, on shared instances and table."""

    def __init__(self, number, harness):
        self.alive = True
        self.scope = trio.CancelScope()
        self.sends = 0
        address = Address(host='127.0.0.1', port=3000 + number)
        self.node = Node(
            name=f'entry-{number}',
            incarnation=1,
            role=Role.ENTRY,
            region='r',
            failure_domain='a',
            caller_address=address,
            peer_address=address,
        )
        routes = PeerRoutes()
        call = harness.network.add_peer(address, routes)
        self.claims = Claims(
            node=self.node,
            store=ClaimStore(
                table=harness.table.calls(),
                objects=FakeObjects(harness.table).calls(),
                epoch=lambda: 1,
            ),
            peer_call=call,
            randomness=random.Random(number),
        )
        self.claims.register(routes)
        self.at_most_once = AtMostOnceCalls(
            node=self.node, claims=self.claims, peer_call=call
        )
        self.at_most_once.register(routes)

    async def run(self, harness, *, task_status):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.caller = ServiceCaller(
                    calls=harness.services,
                    endpoints=harness.services.endpoints,
                    call_once=self.at_most_once.run,
                    budget=RetryBudget(),
                    nursery=nursery,
                    randomness=random.Random(1),
                )
                nursery.start_soon(self.claims.run)
                task_status.started()
                await trio.sleep_forever()


class ServiceHarness:
    """The entries, instances and table service that a script runs against."""

    def __init__(self):
        self.network = FakeNetwork(seed=1)
        self.table = FakeTable()
        self.services = FakeServiceCalls()
        self.entries = []
        self.sends = []

    async def start(self, nursery):
        for number in range(ENTRIES):
            entry = Entry(number, self)
            self.entries.append(entry)
            await nursery.start(entry.run, self)

    def send(self, number, path, options):
        entry = self.entries[number]
        if entry.alive:
            entry.sends += 1
            handle = f'{number}~{entry.sends}'
            request = make_request(handle, path, options)
            send = {'entry': entry, 'request': request}
            self.sends.append(send)
            entry.nursery.start_soon(self.serve, send)

    async def serve(self, send):
        send['outcome'] = await send['entry'].caller.serve(send['request'])
        send['ended_at'] = trio.current_time()

    def kill_entry(self, number):
        entry = self.entries[number]
        entry.alive = False
        self.network.kill(entry.node.peer_address)
        entry.scope.cancel()

    def break_table(self, fault):
        if fault in {'down', 'up'}:
            self.table.down = fault == 'down'
        else:
            setattr(self.table, fault, 1)

    def fail_call(self, number, fault):
        self.services.instances[number].faults.append(fault)

    def set_alive(self, number, alive):
        self.services.instances[number].alive = alive

    def journal(self):
        return [
            line
            for instance in self.services.instances
            for line in instance.journal
        ]


def make_request(handle, path, options):
    return ServiceRequest(
        handle=handle,
        key=path if options['keyed'] else '',
        account='kona',
        service='kiosk-desk',
        request=Request(method='POST', path=path, body=b'van'),
        fingerprint=path,
        repeatable=options['repeatable'],
        deadline=trio.current_time() + options['deadline_seconds'],
        attempt_seconds=1.0,
    )


class ServiceMachine(RuleBasedStateMachine):
    """Writes a script of calls and faults, then runs and checks it."""

    calls = Bundle('calls')

    def __init__(self):
        super().__init__()
        self.script = []

    def add(self, verb, *subject):
        self.script.append((verb, subject))

    @rule(
        target=calls,
        number=entry_numbers,
        keyed=st.booleans(),
        repeatable=st.booleans(),
        deadline_seconds=st.sampled_from([0.1, 1.5, 5.0]),
    )
    def call(self, number, **options):
        path = f'/vans/{len(self.script)}'
        self.add('send', number, path, options)
        return path, options

    @rule(call=calls, number=entry_numbers)
    def resend(self, call, number):
        path, options = call
        if options['keyed']:
            self.add('send', number, path, options)

    @rule(number=instance_numbers, fault=st.sampled_from(CALL_FAULTS))
    def fail_call(self, number, fault):
        self.add('fail', number, fault)

    @rule(number=instance_numbers, alive=st.booleans())
    def set_alive(self, number, alive):
        self.add('alive', number, alive)

    @rule(number=st.integers(1, ENTRIES - 1))
    def kill_entry(self, number):
        self.add('kill-entry', number)

    @rule(fault=st.sampled_from(TABLE_FAULTS))
    def break_table(self, fault):
        self.add('table', fault)

    @precondition(lambda machine: machine.script)
    @rule(seconds=st.sampled_from([0.0, 0.011, 0.07, 0.3, 2.0]))
    def wait(self, seconds):
        self.add('wait', seconds)

    def teardown(self):
        run_in_virtual_time(self.play)

    async def play(self):
        harness = ServiceHarness()
        with trio.fail_after(120):
            async with trio.open_nursery() as nursery:
                await harness.start(nursery)
                for verb, subject in self.script:
                    await play_step(harness, verb, *subject)
                await trio.sleep(10)
                await check_recovered(harness)
                nursery.cancel_scope.cancel()
        check(harness)


async def play_step(harness, verb, *subject):
    if verb == 'wait':
        await trio.sleep(*subject)
        return
    steps = {
        'send': harness.send,
        'kill-entry': harness.kill_entry,
        'table': harness.break_table,
        'fail': harness.fail_call,
        'alive': harness.set_alive,
    }
    steps[verb](*subject)


async def check_recovered(harness):
    """Check that new calls are answered once the faults have ended."""
    harness.table.down = False
    for instance in harness.services.instances:
        instance.alive = True
        instance.faults.clear()
    await trio.sleep(LEAVING_SECONDS + 1)
    options = {'keyed': True, 'repeatable': False, 'deadline_seconds': 5.0}
    harness.send(0, '/vans/new', options)
    await trio.sleep(1)
    assert harness.sends[-1]['outcome'].is_ok()


def check(harness):
    journal = harness.journal()
    answers = {}
    for send in harness.sends:
        if 'outcome' in send:
            check_send(send, journal)
            collect_answer(answers, send)
        else:
            assert not send['entry'].alive
        if not send['request'].repeatable:
            path = send['request'].request.path
            assert sum(line[1] == path for line in journal) <= 1
    assert all(len(bodies) == 1 for bodies in answers.values())


def check_send(send, journal):
    request, outcome = send['request'], send['outcome']
    own_runs = sum(line[0] == request.handle for line in journal)
    assert send['ended_at'] <= request.deadline + DEADLINE_TOLERANCE_SECONDS
    if outcome.is_ok():
        assert outcome.ok.body.startswith(request.request.path.encode())
        return
    assert outcome.error.reason is not Reason.INTERNAL
    if outcome.error.verdict is Verdict.NOT_RUN:
        assert own_runs == 0


def collect_answer(answers, send):
    request, outcome = send['request'], send['outcome']
    if outcome.is_ok() and request.key and not request.repeatable:
        bodies = answers.setdefault(request.key, set())
        bodies.add(outcome.ok.body)


def test_calls_run_at_most_once_and_verdicts_are_true():
    thorough = settings(max_examples=300)
    run_state_machine_as_test(ServiceMachine, settings=thorough)


async def run_unclaimed(calls, progress, endpoint, dispatch):
    return await dispatch()


def retry_anything(caller, progress, failure):
    return failure if progress.attempts > 3 else None


async def give_up_waiting(calls, claim):
    return Result.Error(not_run(Reason.CLAIMED_ELSEWHERE))


async def send_at_three_entries():
    harness = ServiceHarness()
    async with trio.open_nursery() as nursery:
        await harness.start(nursery)
        options = {'keyed': True, 'repeatable': False, 'deadline_seconds': 5.0}
        for number in range(ENTRIES):
            harness.send(number, '/vans/1', options)
            await trio.sleep(0.02)
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    check(harness)
    return [send['outcome'].is_ok() for send in harness.sends]


def test_resend_at_another_entry_waits_for_the_first_answer(monkeypatch):
    assert run_in_virtual_time(send_at_three_entries) == [True, True, True]
    monkeypatch.setattr(AtMostOnceCalls, '_wait_for_owner', give_up_waiting)
    assert run_in_virtual_time(send_at_three_entries) == [True, False, False]


@pytest.mark.parametrize(
    ('target', 'name', 'replacement'),
    [
        (AtMostOnceCalls, 'run', run_unclaimed),
        (ServiceCaller, '_final_failure', retry_anything),
        (service_module, '_is_answer_to', lambda call, response: True),
        (service_module, 'may_have_run', not_run),
    ],
)
def test_state_machine_fails_without_safeguard(
    monkeypatch, target, name, replacement
):
    monkeypatch.setattr(target, name, replacement)
    quick = settings(max_examples=300, phases=[Phase.generate])
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(ServiceMachine, settings=quick)


def spread_calls(count, *, first_leaves=False):
    """Return how many calls of a burst of ``count`` each instance ran.

    The second value is the number of refusals by the first instance, which
    refuses every call if ``first_leaves``.
    """

    async def body():
        harness = ServiceHarness()
        async with trio.open_nursery() as nursery:
            await harness.start(nursery)
            first = harness.services.instances[0]
            if first_leaves:
                first.faults.extend('leaving' for _ in range(count))
            for number in range(count):
                options = {
                    'keyed': False,
                    'repeatable': False,
                    'deadline_seconds': 5.0,
                }
                harness.send(0, f'/vans/{number}', options)
                await trio.sleep(0.01)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        refusals = count - len(first.faults) if first_leaves else 0
        instances = harness.services.instances
        return [len(each.journal) for each in instances], refusals

    return run_in_virtual_time(body)


def test_calls_are_balanced_and_avoid_a_leaving_instance():
    counts, _ = spread_calls(60)
    assert sum(counts) == 60
    assert min(counts) >= 15
    counts, refusals = spread_calls(60, first_leaves=True)
    assert counts[0] == 0
    assert sum(counts) == 60
    # The load report does not show that the instance is leaving; only its
    # refusals do.
    assert refusals <= 5


SITE = SiteConfig(
    accounts={'kona': AccountConfig(key_hashes=(hash_key('k'),))},
    services={'kiosk-desk': ServiceConfig(timeout_seconds=2.0)},
)


def test_call_over_http_reaches_the_named_service():
    trio.run(call_over_http)


async def call_over_http():
    async with trio.open_nursery() as nursery:
        requests_seen = []
        stand_in = make_service()

        async def serve(exchange):
            requests_seen.append(exchange.request)
            await stand_in.handle(exchange)

        service = await start_server(nursery, serve)
        entry = await start_server(nursery, make_routes(nursery, service))
        client = HttpClient()
        request = Request(
            method='POST',
            path='/services/kiosk-desk/vans/7%20a',
            headers=(('authorization', 'Bearer k'), ('x-note', 'b')),
            body=b'van',
        )
        answer = await client.fetch(entry, request, timeout_seconds=5)
        assert answer.ok.status == 200
        assert answer.ok.header('x-run') == '1'
        assert b'"path":"/vans/7 a"' in answer.ok.body
        call = next(each for each in requests_seen if each.path != '/load')
        assert call.header('x-note') == 'b'
        assert not call.header('authorization')
        unknown = Request(method='GET', path='/services/x/y')
        refused = await client.fetch(entry, unknown, timeout_seconds=5)
        assert refused.ok.status == 401
        nursery.cancel_scope.cancel()


async def start_server(nursery, handler):
    listeners = await listen(Address(host='127.0.0.1', port=0))
    nursery.start_soon(Server(handler=handler).serve, listeners)
    return bound_address(listeners)


def make_routes(nursery, address):
    endpoint = Endpoint(
        name='kiosk-desk-1',
        role=Role.SERVICE,
        address=address,
        failure_domain='a',
        service='kiosk-desk',
    )
    caller = ServiceCaller(
        calls=ServiceCalls(client=HttpClient()),
        endpoints=lambda: (endpoint,),
        call_once=services_module.refuse_call,
        budget=RetryBudget(),
        nursery=nursery,
        randomness=random.Random(1),
    )
    routes = Routes()
    add_service_routes(
        routes,
        ServiceInputs(
            read_site=lambda: Result.Ok(SITE),
            caller=caller,
            make_handle=lambda: 'entry-1~1~a',
            admit=lambda request: Result.Ok(None),
        ),
    )
    return routes.handle
