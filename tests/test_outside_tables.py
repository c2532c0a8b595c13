"""Tests that answers of the store are read or are one failure."""

import json
import time
from unittest import mock

import pytest
import trio
from expression import Ok
from hypothesis import example, given
from hypothesis import strategies as st

from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.endpoint_sync import EndpointSync
from limpetdrift.platform.store import RowPage, StoreClient, StoredRow
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.seen_faults import MAX_KEYS, SeenFaults
from limpetdrift.transport.messages import Address, Response
from limpetdrift.verdict import Failure
from test_platform_decoders import JSON_VALUES
from test_platform_decoders import ROW as ENDPOINT_ROW

STORE = Address(host='127.0.0.1', port=1)
ROW = {'key': 'a', 'schemaVersion': 3, 'value': 'bg==', 'tombstone': False}
PAGE = {'rows': [ROW], 'schemaVersion': 3, 'truncated': False}


class AnsweringClient:
    """Fake of an HTTP client that answers all calls alike."""

    def __init__(self, body: bytes, era: str = '1') -> None:
        self._response = Response(
            status=200, headers=(('store-era', era),), body=body
        )

    async def fetch(self, address, request, *, timeout_seconds):
        return Ok(self._response)


def read_page(body: bytes, era: str = '1') -> RowPage | Failure:
    """Return the page of the store's answer, or the failure."""

    async def read():
        store = StoreClient(client=AnsweringClient(body, era), address=STORE)
        return await store.read('servers')

    result = trio.run(read)
    return result.ok if result.is_ok() else result.error


# Guards against a value outside of ASCII that ended the reader of a table.
@pytest.mark.parametrize('text', ['é', '²', '%', 'a', 'bg=', '\U0001f600'])
def test_a_value_that_is_no_base64_leaves_the_other_rows_readable(text):
    rows = [ROW | {'key': 'spoiled', 'value': text}, ROW]
    page = read_page(json.dumps(PAGE | {'rows': rows}).encode())
    assert [row.key for row in page.rows] == ['spoiled', 'a']
    assert [row.value for row in page.rows] == [text.encode(), b'n']


@pytest.mark.parametrize('version', ['-1', '1' + 20 * '0', '1' + 400 * '0'])
def test_a_version_out_of_range_is_a_failure(version):
    body = json.dumps(PAGE).replace('"schemaVersion": 3', '"schemaVersion": %s')
    assert isinstance(
        read_page((body % (version, 3)).encode()), Failure
    ) and isinstance(read_page((body % (3, version)).encode()), Failure)


@given(
    st.binary(max_size=60)
    | JSON_VALUES.map(lambda content: json.dumps(content).encode())
    | st.builds(
        lambda field, content: json.dumps(PAGE | {field: content}).encode(),
        st.sampled_from(sorted(PAGE)),
        JSON_VALUES,
    )
    | st.builds(
        lambda field, content: json.dumps(
            PAGE | {'rows': [ROW | {field: content}]}
        ).encode(),
        st.sampled_from(sorted(ROW)),
        JSON_VALUES,
    ),
    st.text(max_size=20),
)
@example(b'[' * 9000, '1')
@example(b'{"rows":' + b'[' * 9000, '²')
def test_any_answer_of_the_store_is_a_page_or_a_failure(body, era):
    began_at = time.process_time()
    read = read_page(body, era)
    assert time.process_time() - began_at < 0.5
    if isinstance(read, RowPage):
        assert all(row.version >= 0 for row in read.rows)


def encode_row(**changes: object) -> bytes:
    return json.dumps(ENDPOINT_ROW | changes).encode()


# Guards against a row whose key can't be sent as a header of a request there.
@pytest.mark.parametrize(
    'key', ['i-\u0142', 'i\n1', 'i\r\nX: y', 'i\0', ' i', '', 'i' * 300]
)
def test_a_row_whose_key_can_not_be_sent_names_no_endpoint(key):
    decoded = decode_endpoint(key, encode_row())
    assert decoded.is_error()
    assert 'key' in decoded.error


@pytest.mark.parametrize(
    ('field', 'content'),
    [
        ('slots', -1),
        ('slots', 2**62),
        ('born', -1),
        ('born', 2**64),
        ('coldRemainingMs', 10**310),
        ('service', 's' * 300),
        ('zone', 'z' * 300),
    ],
)
def test_a_row_with_a_field_out_of_range_names_no_endpoint(field, content):
    decoded = decode_endpoint('i-1', encode_row(**{field: content}))
    assert decoded.is_error()
    assert field in decoded.error


class RowsHarness:
    """A view of the endpoint list, and what is logged of its rows."""

    def __init__(self) -> None:
        self.view = EndpointView(clock=time.monotonic)
        self.has_outage = False
        self.sync = EndpointSync(
            view=self.view,
            outage_within=lambda seconds: self.has_outage,
            on_drop=lambda: None,
        )

    def apply(self, spoiled: int, version: int) -> list[str]:
        """Apply changes of spoiled rows; return what was logged."""
        rows = tuple(
            StoredRow(
                key=f'spoiled-{number}',
                version=version,
                value=encode_row(state=f'state {version}'),
            )
            for number in range(spoiled)
        )
        log = mock.Mock()
        module = 'limpetdrift.platform.endpoint_sync'
        with (
            mock.patch(f'{module}.warn', log),
            mock.patch(f'{module}.note', log),
        ):
            self.sync.apply(rows)
        return [call.args[0] for call in log.mock_calls]


@pytest.mark.parametrize('has_outage', [False, True])
def test_rows_of_no_endpoint_cost_nothing_as_they_change(has_outage):
    rows = RowsHarness()
    good = StoredRow(key='good', version=1, value=encode_row())
    rows.sync.replace((good,))
    rows.has_outage = has_outage
    view_version = rows.view.version
    assert len(rows.apply(300, 2)) == 300
    for version in range(3, 8):
        assert not rows.apply(300, version)
    rows.sync.drop_lapsed()
    assert rows.view.version == view_version
    assert [each.name for each in rows.view.listed] == ['good']


def test_a_row_that_names_an_endpoint_no_more_drops_it():
    rows = RowsHarness()
    rows.sync.replace(
        (StoredRow(key='spoiled-0', version=1, value=encode_row()),)
    )
    assert len(rows.apply(1, 2)) == 2
    assert not rows.view.listed


def test_faults_of_gone_rows_are_forgotten_and_the_rest_is_bounded():
    seen = SeenFaults()
    for number in range(MAX_KEYS + 10):
        assert seen.is_new(str(number), 'state is unknown')
    assert len(seen) == MAX_KEYS
    seen.forget(str(MAX_KEYS))
    assert len(seen) == MAX_KEYS - 1
    assert seen.is_new(str(MAX_KEYS), 'state is unknown')
