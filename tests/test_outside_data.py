"""Tests that data from outside the process is decoded or is one error.

Whatever the bytes are, a decoder returns a value that can't fail later, or
its error, and within a bounded time.
"""

import json
import math
import time
from dataclasses import replace

import pytest
import trio
from expression import Ok
from hypothesis import example, given
from hypothesis import strategies as st

from forward_harness import make_announcements, make_endpoints
from limpetdrift.coordination.endpoints.endpoint_gate import make_gate
from limpetdrift.coordination.engines.prompt_splitting import choose_split
from limpetdrift.coordination.planning.plan_making import choose_sound_split
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.endpoint_signals import decode_signals
from limpetdrift.platform.reports import decode_report, make_report_reader
from limpetdrift.platform.settings import decode_settings
from limpetdrift.protocol.bounded import MAX_PACE, MAX_REQUESTS, MAX_TOKENS
from limpetdrift.protocol.codec import decode
from limpetdrift.protocol.gossip import GossipMessage
from limpetdrift.protocol.work import EngineReport
from limpetdrift.state.endpoint_limits import UNLIMITED
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.engine_ledger import EngineLedger
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.verdict import Reason, Verdict
from planner_load import SERVICE, PlannerLoad
from test_platform_decoders import ENGINE
from test_splitting import COST_MODEL, ENGINES, make_request

# Length of a head that is read, and the processor time to decode one.
HEAD_BYTES = 8000
MAX_DECODE_SECONDS = 0.25
# The collector may run in one of the calls, over all of a test worker's heap.
DECODE_CALLS = 3
DECODERS = {
    'report': lambda payload: decode_report(payload, ENGINE),
    'endpoint': lambda payload: decode_endpoint('i-1', payload),
    'configuration': decode_route_table,
    'settings': decode_settings,
    'message': lambda payload: decode(payload, GossipMessage),
}
SPOILED = {
    'nested': b'{"x":' + b'[' * 40_000,
    'nested whole': b'{"x":' + b'[' * 40_000 + b']' * 40_000 + b'}',
    'objects': b'{"x":' * 40_000,
    'not UTF-8': b'{"service":"\xff"}',
    'lone surrogate': b'{"service":"' + bytes([92]) + b'ud800"}',
    'not a number': b'{"pace":NaN}',
    'infinite': b'{"pace":1e400}',
    'text': b'nonsense',
}


def power_of_ten(exponent: int) -> int:
    """Return an integer that is larger than most floats."""
    return 10**exponent


# Guards against a report of an engine that ended each process that read it.
@pytest.mark.parametrize('decoder', sorted(DECODERS))
@pytest.mark.parametrize('spoiled', sorted(SPOILED))
def test_spoiled_bytes_are_an_error(decoder, spoiled):
    DECODERS[decoder](SPOILED[spoiled])


@pytest.mark.parametrize('spoiled', ['nested', 'nested whole', 'objects'])
def test_a_report_that_is_nested_too_deeply_is_an_error(spoiled):
    assert decode_report(SPOILED[spoiled], ENGINE).is_error()


# Guards against a count of 310 digits that made each plan fail.
@given(
    st.sampled_from(('active', 'queued', 'kvUsed', 'pace')),
    st.integers() | st.integers(min_value=300, max_value=320).map(power_of_ten),
)
@example('active', 10**310)
@example('kvUsed', 10**310)
@example('kvUsed', MAX_TOKENS)
@example('pace', int(MAX_PACE))
def test_prompts_are_planned_beside_any_report(field, number):
    numbers = {'active': MAX_REQUESTS, 'queued': MAX_REQUESTS} | {field: number}
    engine = ENGINES[0]
    report = decode_report(json.dumps(numbers).encode(), engine)
    ledger = EngineLedger(clock=float)
    if report.is_ok():
        ledger.note_report(engine, report.ok)
    usages = ledger.usages(ENGINES)
    split = choose_split(make_request(60_000), usages, COST_MODEL)
    assert math.isfinite(split.cost)


@pytest.mark.parametrize('number', ['-1', '1' + 310 * '0', '1' + 20 * '0'])
@pytest.mark.parametrize('field', ['active', 'queued', 'kvUsed', 'pace'])
def test_report_with_a_number_out_of_range_is_an_error(field, number):
    payload = f'{{"{field}": {number}}}'.encode()
    assert decode_report(payload, ENGINE).is_error()


# Guards against a head of an endpoint that halted the entry for seconds.
@given(
    st.sampled_from(('server-limit', 'retry-after', 'cold-ms')),
    st.sampled_from(('1', '0', '.1', '1.', '1e', ' ', '²')),
    st.sampled_from(('', 'x', 'e', '.', ' x')),
)
@example('server-limit', '1', 'x')
def test_long_numbers_in_heads_are_read_at_once(name, repeated, ending):
    text = repeated * HEAD_BYTES + ending
    times = []
    for _ in range(DECODE_CALLS):
        began_at = time.thread_time()
        signals = decode_signals(ENGINE, 503, ((name, text),))
        times.append(time.thread_time() - began_at)
    assert min(times) < MAX_DECODE_SECONDS
    assert signals.rate_limit in {None, UNLIMITED}
    assert (signals.back_off_seconds, signals.cold_seconds) == (0, 0)


# Guards against a path of health checks that ended the task of the probes.
@pytest.mark.parametrize(
    'unsendable',
    [
        Request(method='GET', path='/a b'),
        Request(method='GET', path='/\u0142'),
        Request(method='GET', path='/', headers=(('tenant', '\u0142'),)),
        Request(method='GET', path='/', headers=(('tenant', 'a\nb'),)),
    ],
)
def test_unsendablethat_can_not_be_written_fails_as_not_run(unsendable):
    async def fetch():
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        async with listeners[0]:
            port = listeners[0].socket.getsockname()[1]
            return await HttpClient().fetch(
                Address(host='127.0.0.1', port=port),
                unsendable,
                timeout_seconds=1.0,
            )

    assert trio.run(fetch).error.verdict is Verdict.NOT_RUN


# Guards against one engine that keeps prompts from all others.
def test_engine_whose_load_fails_a_plan_is_left_out():
    spoiled, *others = EngineLedger(clock=float).usages(ENGINES)
    usages = (replace(spoiled, unplanned=10**310), *others)
    request = make_request(60_000)
    with pytest.raises(OverflowError):
        choose_split(request, usages, COST_MODEL)
    split, used = choose_sound_split(request, usages, COST_MODEL)
    assert used == tuple(others)
    assert split == choose_split(request, used, COST_MODEL)
    nothing = choose_sound_split(request, usages[:1], COST_MODEL)
    assert nothing == (None, ())


@pytest.mark.parametrize('spoiled', [1, 3])
def test_prompt_is_refused_if_all_engines_fail_its_plan(spoiled):
    load = PlannerLoad(engines=3)
    report = EngineReport(active=10**310, queued=0, memory_tokens=0)
    for endpoint in make_endpoints(3)[:spoiled]:
        engine = replace(endpoint, service=SERVICE)
        load.planner.ledger(SERVICE).note_report(engine, report)
    planned = load.send(make_request(60_000))
    assert planned.is_ok() is (spoiled < 3)
    assert planned.is_ok() or planned.error.reason is Reason.NO_ENDPOINT


class SpoilingClient:
    """Fake of an HTTP client whose answers the test sets."""

    def __init__(self) -> None:
        self.body = b''

    def drop_idle_connections(self, address) -> None:
        """Do nothing, since there are no connections."""

    async def fetch(self, address, request, *, timeout_seconds):
        return Ok(Response(status=200, body=self.body))


# Guards against a log line for each poll of an engine that spoils its reports.
def test_spoiled_report_is_logged_once_until_one_is_read(monkeypatch):
    logged = []
    monkeypatch.setattr(
        'limpetdrift.platform.reports.warn',
        lambda message, **fields: logged.append(fields),
    )
    client = SpoilingClient()
    gate = make_gate(EndpointView(clock=float), make_announcements())
    read = make_report_reader(client, gate)
    spoiled, sound = b'{"active":-1}', b'{"active":1}'

    async def poll():
        for body in (spoiled, spoiled, sound, spoiled, spoiled):
            client.body = body
            await read(ENGINE)

    trio.run(poll)
    assert len(logged) == 2
    assert logged[0]['endpoint'] == ENGINE.name
    assert 'active' in logged[0]['detail']
