"""Tests that input of any content is decoded to a valid value or an error.

They cover the settings, rows of the store, engine reports and requests.
"""

import json
import time
from random import Random
from unittest import mock

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from limpetdrift.platform.admission import (
    AdmissionInputs,
    admit,
    parse_prompt_parts,
)
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_client import parse_load
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.endpoint_sync import EndpointSync
from limpetdrift.platform.failure_responses import make_failure_renderer
from limpetdrift.platform.reports import decode_report
from limpetdrift.platform.settings import decode_settings
from limpetdrift.platform.store import StoredRow
from limpetdrift.protocol.route_table import RequestKind, RouteTable
from limpetdrift.protocol.routing_sync import digest_of
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.messages import Request
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
ROW = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'd',
    'slots': 8,
    'state': 'ready',
    'born': 1700000000000,
    'coldRemainingMs': 0,
}
ROUTE = {
    'name': 'r',
    'host': 'Shop.Example',
    'pathPrefix': '/a/',
    'kind': 'streaming',
    'timeoutMs': 10000,
    'targetLatencyMs': 300,
    'priority': 1,
    'service': 's',
    'maxAttempts': 2,
    'resumable': True,
    'gapTargetMs': 250,
}
DOCUMENT = {
    'version': 7,
    'routes': [
        ROUTE,
        ROUTE | {'name': 'deep', 'pathPrefix': '/a/b/', 'kind': 'idempotent'},
        ROUTE | {'name': 'open', 'pathPrefix': '/open/', 'public': True},
    ],
    'services': [{'name': 's'}],
    'tenants': [{'name': 'acme', 'apiKeys': ['k1'], 'priority': 3}],
}
ENGINE = ListedEndpoint(
    name='i-1',
    lifetime=1700000000000,
    service='s',
    address='10.0.0.1:80',
    failure_domain='d',
    slots=8,
)


def make_route_table(**changes: object) -> RouteTable:
    return decode_route_table(json.dumps(DOCUMENT | changes).encode()).ok


def make_admission(age: float = 0.0, **changes: object) -> AdmissionInputs:
    now = 100.0
    routes = RouteTableCache(clock=lambda: now)
    routes.accept_newer(make_route_table(**changes), now - age)
    return AdmissionInputs(
        routes=routes,
        clock=lambda: now,
        randomness=Random(1),
        key_staleness_bound_seconds=4.0,
        lookup_staleness_bound_seconds=2.0,
    )


def make_request(target: str = '/a/x', **headers: str) -> Request:
    pairs = {
        'host': 'shop.example:80',
        'attempt_id': 'a1',
        'deadline_ms': '5000',
        'authorization': 'Bearer k1',
    } | headers
    return Request(
        method='POST',
        path=target,
        target=target,
        headers=tuple(
            (name.replace('_', '-'), text) for name, text in pairs.items()
        ),
    )


@given(
    st.binary(max_size=60) | JSON_VALUES.map(lambda v: json.dumps(v).encode())
)
@example(b'')
@example(b'[]')
def test_decoders_raise_nothing_on_any_input(payload):
    assert decode_settings(payload).is_error()
    assert decode_endpoint('i-1', payload).is_error()
    decode_route_table(payload)
    decode_report(payload, ENGINE)


@given(st.sampled_from(sorted(ROW)), JSON_VALUES)
def test_row_with_a_field_of_the_wrong_type_is_an_error(field, value):
    payload = json.dumps(ROW | {field: value}).encode()
    decoded = decode_endpoint('i-1', payload)
    if decoded.is_ok():
        assert isinstance(value, type(ROW[field]))


@given(
    st.sampled_from(sorted(ROW)),
    JSON_VALUES | st.integers(min_value=2**60) | st.just('no-port:'),
)
@example('address', 'no-port:')
@example('state', 'gone')
@example('born', 10**308)
@example('coldRemainingMs', None)
def test_bad_row_names_no_endpoint_and_the_log_names_the_field(field, value):
    """Any process may write rows; a bad one must not hide the others."""
    row = json.dumps(ROW | {field: value}).encode()
    view = EndpointView(clock=time.monotonic)
    sync = EndpointSync(
        view=view, outage_within=lambda seconds: False, on_drop=lambda: None
    )
    good = json.dumps(ROW).encode()
    with mock.patch('limpetdrift.platform.endpoint_sync.warn') as log:
        for version in (1, 2):
            sync.replace(
                (
                    StoredRow(key='good', value=good, version=1),
                    StoredRow(key='other', value=row, version=version),
                    StoredRow(key='unread', value=b'\xff', version=version),
                )
            )
        logged = [each.kwargs for each in log.call_args_list]
    assert view.find('good')
    assert not view.find('unread')
    details = {each['entry']: each['detail'] for each in logged}
    assert len(details) == len(logged)
    assert ('other' in details) is (view.find('other') is None)
    assert field in details.get('other', field)


def test_remaining_cold_time_of_a_row_is_in_seconds():
    for milliseconds, seconds in ((2500, 2.5), (0, 0), (-5, 0)):
        row = ROW | {'coldRemainingMs': milliseconds}
        endpoint = decode_endpoint('i-1', json.dumps(row).encode()).ok
        assert endpoint.cold_seconds == seconds
        # A falling time makes no difference between two lists.
        assert endpoint == ENGINE
        assert digest_of((endpoint,)) == digest_of((ENGINE,))


def test_services_state_their_bound_on_cold_endpoints():
    services = [{'name': 's', 'coldStartS': 8, 'coldPerS': 2.5}, {'name': 'd'}]
    document = {'version': 1, 'services': services}
    table = decode_route_table(json.dumps(document).encode()).ok
    bounds = [
        (each.cold_start_seconds, each.cold_requests_per_second)
        for each in table.services
    ]
    assert bounds == [(8, 2.5), (0, 0)]


def test_valid_row_is_decoded_to_an_endpoint():
    endpoint = decode_endpoint('i-1', json.dumps(ROW).encode()).ok
    assert endpoint == ENGINE
    leaving = json.dumps(ROW | {'state': 'draining'}).encode()
    assert decode_endpoint('i-1', leaving).ok.leaving


@pytest.mark.parametrize('state', ['gone', '', 'READY'])
def test_row_with_an_unknown_state_is_an_error(state):
    payload = json.dumps(ROW | {'state': state}).encode()
    assert decode_endpoint('i-1', payload).is_error()


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state'])
def test_row_without_a_required_field_is_an_error(field):
    row = {name: value for name, value in ROW.items() if name != field}
    assert decode_endpoint('i-1', json.dumps(row).encode()).is_error()


def test_report_of_another_lifetime_is_an_error():
    payload = json.dumps({'active': 3, 'born': 5}).encode()
    assert decode_report(payload, ENGINE).is_error()


@pytest.mark.parametrize('text', ['', '1,2', 'a,b,c', '1,2,3,4', '-1,0,8'])
def test_invalid_load_header_is_parsed_as_none(text):
    assert parse_load(text) is None


@pytest.mark.parametrize('number', ['²', '9' * 5000, '-1', '1.5', '', '٣'])
def test_request_with_an_invalid_size_or_event_id_is_admitted_without(number):
    """Guards against a number that only looks like one ending the request."""
    request = make_request(token_usage=f'{number},1', last_event_id=number)
    admitted = admit(request, make_admission())
    assert admitted.ok.size is None
    assert admitted.ok.last_event_id is None
    assert parse_load(f'1,{number},8') is None


# More digits than any count has.
LONG_NUMBER = '9' * 400
ENGINE_FIGURES = {
    'slots': 8,
    'kvCapacity': 315000,
    'stride': 51,
    'step_ms': 0.85,
    'per_seq_ms': 0.00425,
    'context_per_k': 0.00285,
    'read_per_s': 177000,
    'pairs_per_m': 0.184,
    'chunk': 2048,
}


def admit_prompt(usage: str):
    services = [{'name': 's', 'engine': ENGINE_FIGURES}]
    admission = make_admission(services=services)
    return admit(make_request(token_usage=usage), admission)


@pytest.mark.parametrize(
    'usage',
    ['nan,1', '1', '-5,-5', '1,2,3', ',', LONG_NUMBER, '1.5,1'],
)
def test_prompt_with_an_unreadable_size_is_refused_at_once(usage):
    """Guards against a prompt that is planned with a size it doesn't have."""
    refused = admit_prompt(usage).error
    assert refused.reason is Reason.BAD_REQUEST
    assert 'token-usage' in refused.detail


@pytest.mark.parametrize(
    ('usage', 'tokens'),
    [('1000000000000,1', 10**12), ('0,0', 0), (' 7 , 8 ', 7)],
)
def test_prompt_of_any_sound_size_is_admitted(usage, tokens):
    assert admit_prompt(usage).ok.size.prompt_tokens == tokens


def test_prompt_without_a_size_is_admitted():
    assert admit_prompt('').ok.size is None


def test_route_with_the_longest_matching_prefix_is_found():
    route = make_admission().routes.find_route('shop.example', '/a/b/c')
    assert route.name == 'deep'
    assert route.kind is RequestKind.IDEMPOTENT


def test_headers_of_the_connection_and_of_the_entry_are_not_forwarded():
    request = make_request(
        tenant='mallory',
        helpers='10.0.0.9:80',
        request_urgency='0',
        expect_instance='i-9',
        connection='close, x-hop',
        x_hop='1',
        transfer_encoding='chunked',
        x_kept='yes',
    )
    caller_request = admit(request, make_admission()).ok
    assert {name for name, _ in caller_request.headers} == {
        'host',
        'attempt-id',
        'x-kept',
    }
    assert caller_request.account == 'acme'
    assert caller_request.priority == 3


def test_target_is_forwarded_unchanged():
    caller_request = admit(make_request('/a/%7Ex?q=a%20b'), make_admission()).ok
    assert caller_request.target == '/a/%7Ex?q=a%20b'


@pytest.mark.parametrize(
    ('key', 'age', 'reason'),
    [
        ('Bearer k1', 3.9, None),
        ('Bearer k1', 4.1, Reason.UNCONFIRMED),
        ('Bearer k2', 0.1, Reason.UNAUTHORIZED),
        ('Bearer k2', 2.5, Reason.UNCONFIRMED),
        ('', 0.1, Reason.UNAUTHORIZED),
        ('Basic k1', 0.1, Reason.UNAUTHORIZED),
    ],
)
def test_key_is_accepted_only_within_its_staleness_bound(key, age, reason):
    admitted = admit(make_request(authorization=key), make_admission(age))
    if reason is None:
        assert admitted.is_ok()
    else:
        assert admitted.error.reason is reason
        assert admitted.error.verdict is Verdict.NOT_RUN


def test_public_route_is_admitted_without_key_or_confirmation():
    request = make_request('/open/x', authorization='')
    caller_request = admit(request, make_admission(60.0)).ok
    assert caller_request.account == ''


def test_unknown_route_is_not_found_only_while_the_table_is_fresh():
    request = make_request('/nowhere')
    assert admit(request, make_admission(0.1)).error.reason is Reason.NOT_FOUND
    outdated = admit(request, make_admission(2.5))
    assert outdated.error.reason is Reason.UNCONFIRMED


def test_deadline_is_the_earlier_one_of_caller_and_route():
    assert admit(make_request(), make_admission()).ok.deadline == 105.0
    long_deadline = make_request(deadline_ms='60000')
    assert admit(long_deadline, make_admission()).ok.deadline == 110.0


@given(st.sampled_from(list(Reason)), st.sampled_from(list(Verdict)))
def test_status_that_promises_no_run_needs_the_verdict_not_run(reason, verdict):
    render = make_failure_renderer(Random(1))
    response = render(Failure(verdict=verdict, reason=reason))
    promises_no_run = response.status in {408, 421, 429, 503}
    if verdict is not Verdict.NOT_RUN:
        assert not promises_no_run
    if promises_no_run:
        assert float(response.header('retry-after')) > 0


def test_status_depends_on_verdict_and_reason():
    render = make_failure_renderer(Random(1))
    assert render(may_have_run(Reason.DEADLINE)).status == 504
    assert render(may_have_run(Reason.CONNECTION_BROKEN)).status == 502
    assert render(not_run(Reason.UNAUTHORIZED)).status == 401
    assert render(not_run(Reason.NOT_FOUND)).status == 404


@given(st.floats(min_value=0.001, max_value=60), st.integers(0, 100))
def test_retry_time_of_a_back_off_ends_no_earlier_than_the_back_off(
    seconds, seed
):
    render = make_failure_renderer(Random(seed))
    refusal = not_run(Reason.SERVICE_BACK_OFF, retry_after_seconds=seconds)
    response = render(refusal)
    assert response.status == 503
    assert float(response.header('retry-after')) >= seconds


def test_ids_of_prompt_parts_are_parsed_without_empty_ones():
    assert parse_prompt_parts('5C1e:800, 91bd:410,,e4:x') == (
        '5c1e',
        '91bd',
        'e4',
    )
    assert parse_prompt_parts('') == ()
