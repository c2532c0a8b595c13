"""Short, seeded runs of the fuzzer, and inputs that it has found."""

import pytest

from fuzz.decoders import check_document
from fuzz.grammar import SentRequest
from fuzz.inputs import SpoiledReport, SpoiledRow
from fuzz.run import Report, make_checks
from fuzz.site import check_site
from fuzz.wire import KEY, TARGET, check_connection

SEED = 20261205
HEAD = (
    'Host: shop.example\r\nAttempt-Id: r0\r\n'
    f'Authorization: Bearer {KEY}\r\nDeadline-Ms: 5000\r\n'
)
INNER = (
    f'POST {TARGET} HTTP/1.1\r\n'
    + HEAD.replace('r0', 'inner0')
    + 'Content-Length: 0\r\n\r\n'
)
BODY = f'0\r\n\r\n{INNER}'
# Headers and body of a request that meant another one on e947821, or none.
FOUND_CONNECTIONS = {
    'method of a carried request': ('Limpet-Carried-Method: PUT\r\n', ''),
    'target of a carried request': ('Limpet-Carried-Target: /a/o\r\n', ''),
    'id named by a connection header': ('Connection: attempt-id\r\n', ''),
    'two ids': ('Attempt-Id: r1\r\n', ''),
    'second request in the body': ('Transfer-Encoding: chunked\r\n', BODY),
}
DEEP = b'{"models":' + b'[' * 4000
PORT = b"""{"service": "engines", "address": "127.0.0.1:80800",
"zone": "zone-1", "version": "v1", "slots": 8, "state": "ready", "born": 1}"""


@pytest.mark.parametrize('name', ['decoders', 'wire', 'answers'])
@pytest.mark.parametrize('number', range(2))
def test_no_input_of_a_seed_breaks_a_promise(name, number):
    report = Report()
    make_checks('')[name](SEED + number, report)
    assert report.inputs


@pytest.mark.alone
def test_crowds_of_a_seed_stay_within_the_limits():
    report = Report()
    make_checks('')['crowds'](SEED, report)
    assert not report.failed
    assert report.inputs


@pytest.mark.parametrize('is_carried', [False, True])
@pytest.mark.parametrize('found', FOUND_CONNECTIONS)
def test_connection_that_was_found_breaks_no_promise(found, is_carried):
    """Guards against a caller whose bytes run another request than it sent."""
    header, body = FOUND_CONNECTIONS[found]
    length = f'Content-Length: {len(body)}\r\n\r\n'
    payload = f'POST {TARGET} HTTP/1.1\r\n{HEAD}{header}{length}{body}'
    sent = SentRequest(
        request_id='r0',
        method='POST',
        target=TARGET,
        body=body.encode(),
        payload=payload.encode(),
        is_plain=False,
    )
    check_connection((sent,), is_carried)


@pytest.mark.parametrize(
    ('name', 'payload'), [('report', DEEP), ('settings', DEEP), ('row', PORT)]
)
def test_document_that_was_found_is_a_value_or_an_error(name, payload):
    check_document(name, payload)


def test_running_site_bears_the_inputs_that_were_found(tmp_path):
    """Guards against processes that a row or a report ends (cases 2 and 4)."""
    rows = [
        SpoiledRow(service=service, payload=PORT.replace(b'engines', name))
        for service, name in (('engines', b'engines'), ('desk', b'desk'))
    ]
    check_site([*rows, SpoiledReport(payload=DEEP)], tmp_path)
