"""Headers that one kind of writer sets are taken from no other."""

import ast
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import replace
from importlib.util import find_spec
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from forward_harness import make_announcements, make_links
from limpetdrift.coordination.endpoints.endpoint_gate import make_gate
from limpetdrift.platform.admission import admit
from limpetdrift.platform.carrying import pack_request, unpack_request
from limpetdrift.platform.endpoint_client import make_send_request
from limpetdrift.platform.header_names import (
    ALL_HEADERS,
    AUTHORIZATION_HEADER,
    CALLER_HEADERS,
    CARRIED_METHOD_HEADER,
    CARRIED_TARGET_HEADER,
    CONNECTION_HEADERS,
    DEADLINE_MS_HEADER,
    ENDPOINT_HEADERS,
    ENTRY_HEADERS,
    HOST_HEADER,
    PEER_HEADERS,
    REQUEST_ID_HEADER,
    SINGLE_HEADERS,
)
from limpetdrift.protocol.work import DispatchPlan
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Reason, not_run
from test_platform_decoders import ENGINE, make_admission, make_request

FORGED = 'forged'
# A name that a later build may use among entries.
LATER_HEADER = 'limpet-carried-later'
ENTRY_ONLY_HEADERS = sorted(ENTRY_HEADERS - SINGLE_HEADERS)
ENTRY_OR_PEER_HEADERS = sorted(
    (ENTRY_HEADERS | PEER_HEADERS | {LATER_HEADER}) - SINGLE_HEADERS
)
# Names that a caller may choose, one of them as an entry would escape another.
FREE_HEADERS = sorted(
    PEER_HEADERS
    | ENDPOINT_HEADERS
    | {
        LATER_HEADER,
        'x-limpet-any',
        'limpet-caller-limpet-carried',
        'limpet-caller-authorization',
        'limpet-caller-',
        'x',
    }
)
# In each request of the tests already.
SENT_HEADERS = (REQUEST_ID_HEADER, HOST_HEADER)
SECONDS_LEFT = 4.0
_PRINT_MODULES = """
import sys
import limpetdrift.platform.program
print(*(name for name in sys.modules if name.startswith('limpetdrift.')))
"""


def add_headers(*headers: tuple[str, str]):
    """Return a caller's request with more headers, which come last."""
    request = make_request()
    return replace(request, headers=(*request.headers, *headers))


def admit_forged(name: str):
    """Return an admitted request with a header that the caller may not set."""
    return admit(add_headers((name, FORGED)), make_admission()).ok


def send_to_endpoint(caller_request, answer_headers=()):
    """Return the request that an endpoint gets, and the answer as decoded."""
    received = []

    @asynccontextmanager
    async def stream(address, request, **options: object):
        received.append(request)
        yield SimpleNamespace(
            status=200,
            headers=answer_headers,
            chunks=None,
            expect_bytes=None,
        )

    async def run():
        view = EndpointView(clock=trio.current_time)
        view.put(ENGINE)
        send = make_send_request(
            SimpleNamespace(stream=stream),
            lambda endpoint, load: None,
            make_gate(view, make_announcements()),
            make_links(view),
        )
        plan = DispatchPlan(endpoint=ENGINE)
        async with send(caller_request, plan, SECONDS_LEFT, None) as answer:
            received.append(answer)

    trio.run(run)
    return received


@pytest.mark.parametrize('name', ENTRY_ONLY_HEADERS)
def test_caller_sets_no_header_that_an_endpoint_takes_from_the_entry(name):
    sent, _ = send_to_endpoint(admit_forged(name))
    assert (name, FORGED) not in sent.headers


@pytest.mark.parametrize('name', ENTRY_OR_PEER_HEADERS)
def test_caller_sets_no_header_that_a_peer_takes_from_the_entry(name):
    """Guards against a caller's method and target that a peer runs."""
    packed = pack_request(admit_forged(name), SECONDS_LEFT, None)
    assert (name, FORGED) not in packed.headers
    names = [found for found, _ in packed.headers]
    for own in (
        CARRIED_METHOD_HEADER,
        CARRIED_TARGET_HEADER,
        DEADLINE_MS_HEADER,
        AUTHORIZATION_HEADER,
    ):
        assert names.count(own) == 1


def carry(caller_request):
    """Return a request as a peer admits it that has to carry it."""
    packed = pack_request(caller_request, SECONDS_LEFT, None)
    unpacked, _ = unpack_request(packed).ok
    return admit(unpacked, make_admission()).ok


@pytest.mark.parametrize('times', [1, 2])
@pytest.mark.parametrize('name', FREE_HEADERS)
def test_header_of_any_name_reaches_the_endpoint_as_it_was_sent(name, times):
    """Guards against a caller's header that is lost for its name.

    An endpoint reads none of these, and a peer takes none for an entry's.
    """
    forged = ((name, FORGED),) * times
    admitted = admit(add_headers(*forged), make_admission()).ok
    plain, _ = send_to_endpoint(admit(make_request(), make_admission()).ok)
    for caller_request in (admitted, carry(admitted)):
        sent, _ = send_to_endpoint(caller_request)
        assert sorted(sent.headers) == sorted((*plain.headers, *forged))
        assert (sent.method, sent.target) == ('POST', '/a/x')


@pytest.mark.parametrize('name', sorted(SINGLE_HEADERS))
def test_request_with_two_of_a_header_is_refused(name):
    """Guards against a request that runs under another id than it is told."""
    twice = add_headers((name, FORGED), (name, FORGED))
    refused = admit(twice, make_admission()).error
    assert refused == not_run(Reason.BAD_REQUEST, f'{name} comes twice')


@pytest.mark.parametrize(
    'name', sorted(CALLER_HEADERS.difference(SENT_HEADERS))
)
def test_header_of_a_caller_is_forwarded(name):
    assert (name, FORGED) in admit_forged(name).headers


@pytest.mark.parametrize('option', ['{}', 'close, {}', '{} ,x', 'x,\t{}'])
@pytest.mark.parametrize('name', sorted(CALLER_HEADERS))
def test_connection_header_takes_no_header_that_tells_requests_apart(
    name, option
):
    """Guards against a request that an endpoint runs without its id."""
    headers = [('connection', option.format(name.title())), ('x', '1')]
    if name not in SENT_HEADERS:
        headers.append((name, FORGED))
    request = add_headers(*headers)
    forwarded = admit(request, make_admission()).ok.headers
    assert (name, request.header(name)) in forwarded
    assert 'connection' not in dict(forwarded)


@pytest.mark.parametrize(
    'name', sorted(ENDPOINT_HEADERS | PEER_HEADERS | {LATER_HEADER})
)
def test_endpoint_sets_no_header_that_callers_or_peers_take_from_the_entry(
    name,
):
    _, answer = send_to_endpoint(
        admit_forged(LATER_HEADER), ((name, FORGED), ('server-seal', 'x'))
    )
    assert dict(answer.headers) == {'server-seal': 'x'}


def test_groups_of_names_share_none():
    groups = (
        CALLER_HEADERS,
        ENTRY_HEADERS,
        PEER_HEADERS,
        ENDPOINT_HEADERS,
        CONNECTION_HEADERS,
    )
    assert sum(map(len, groups)) == len(frozenset().union(*groups))


def platform_modules() -> list[str]:
    """Return the modules that an entry on the platform loads."""
    ran = subprocess.run(
        [sys.executable, '-c', _PRINT_MODULES],
        capture_output=True,
        check=True,
        text=True,
    )
    return ran.stdout.split()


def texts(node: ast.AST) -> list[str]:
    """Return the text constants of an expression's own elements."""
    elements = getattr(node, 'elts', [node])
    return [
        each.value
        for each in elements
        if isinstance(each, ast.Constant) and isinstance(each.value, str)
    ]


def pair_names(node: ast.AST) -> list[str]:
    """Return the first texts of all pairs within an expression."""
    return [
        each.elts[0].value
        for each in ast.walk(node)
        if isinstance(each, ast.Tuple)
        and len(each.elts) == 2
        and isinstance(each.elts[0], ast.Constant)
        and isinstance(each.elts[0].value, str)
    ]


def header_names_in(tree: ast.AST) -> set[str]:
    """Return the names of headers that a module defines, sets or reads."""
    found: list[str] = []
    for node in ast.walk(tree):
        match node:
            case ast.Assign(targets=[ast.Name(id=name)], value=value):
                if name.upper().endswith('_HEADER'):
                    found += texts(value)
                if 'HEADERS' in name.upper():
                    found += pair_names(value)
            case ast.AnnAssign(target=ast.Name(id=name), value=value) if value:
                if 'HEADERS' in name.upper():
                    found += pair_names(value)
            case ast.Call(func=ast.Attribute(attr='header'), args=[name, *_]):
                found += texts(name)
            case ast.Call(
                func=ast.Attribute(attr='get', value=ast.Name(id='headers')),
                args=[name, *_],
            ):
                found += texts(name)
            case ast.Compare(
                left=left, ops=[ast.In()], comparators=[ast.Name(id='headers')]
            ):
                found += texts(left)
            case ast.keyword(arg='headers', value=value):
                found += pair_names(value)
    return set(found)


@pytest.mark.parametrize(
    'code',
    [
        "_NEW_HEADER = 'new'",
        "request.header('new')",
        "headers.get('new', '')",
        "x = 'new' in headers",
        "Response(headers=(('new', text),))",
        "_JSON_HEADERS: Headers = (('new', '1'),)",
    ],
)
def test_name_of_a_header_is_found_in_code(code):
    assert header_names_in(ast.parse(code)) == {'new'}


def test_each_header_of_a_module_of_the_entry_is_in_a_list():
    """Guards against a name that is not considered where messages come in."""
    unlisted = {}
    modules = platform_modules()
    assert 'limpetdrift.platform.carrying' in modules
    for module in modules:
        path = Path(find_spec(module).origin)
        names = header_names_in(ast.parse(path.read_text('utf-8')))
        if names - ALL_HEADERS:
            unlisted[module] = sorted(names - ALL_HEADERS)
    assert not unlisted
