"""Tests that changed bytes of true data are a value or the decoder's error.

What a decoder returns can be sent on, and is read again as the same.
"""

import json
import time
from collections.abc import Callable
from functools import partial

import pytest
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st

from corpus.make import make
from fuzz.decoders import MAX_DECODE_SECONDS, REPORT, SETTINGS
from fuzz.grammar import change_bytes
from limpetdrift.platform.admission import admit
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.crash_rows import decode_rows as decode_crash_rows
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.endpoint_signals import decode_signals
from limpetdrift.platform.limit_rows import decode_rows as decode_limit_rows
from limpetdrift.platform.reports import decode_report
from limpetdrift.platform.settings import decode_settings
from limpetdrift.platform.store import StoredRow
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.compatibility import EXCHANGED
from limpetdrift.protocol.crashes import CrashNews
from limpetdrift.protocol.limits import LimitRecord
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import pack, unpack
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.verdict import Verdict
from test_platform_decoders import (
    DOCUMENT,
    ENGINE,
    ROW,
    make_admission,
    make_request,
)

KINDS = sorted((*EXCHANGED, ListedEndpoint), key=lambda kind: kind.__name__)
SAMPLES: dict[str, tuple[bytes, Callable[[bytes], Result], type | None]] = {
    'endpoint': (
        json.dumps(ROW).encode(),
        lambda payload: decode_endpoint('i-1', payload),
        ListedEndpoint,
    ),
    'report': (
        json.dumps(REPORT).encode(),
        lambda payload: decode_report(payload, ENGINE),
        None,
    ),
    'configuration': (
        json.dumps(DOCUMENT).encode(),
        decode_route_table,
        RouteTable,
    ),
    'settings': (json.dumps(SETTINGS).encode(), decode_settings, None),
    **{
        kind.__name__: (
            encode(make(kind, is_whole=True)),
            partial(decode, kind=kind),
            kind,
        )
        for kind in KINDS
    },
}


@given(name=st.sampled_from(sorted(SAMPLES)), choices=st.data())
@settings(max_examples=1500)
def test_changed_bytes_are_a_value_or_an_error(name, choices):
    sample, decoder, kind = SAMPLES[name]
    payload = choices.draw(change_bytes(sample))
    began_at = time.process_time()
    decoded = decoder(payload)
    assert time.process_time() - began_at < MAX_DECODE_SECONDS
    if decoded.is_ok() and kind is not None:
        assert decode(encode(decoded.ok), kind).ok == decoded.ok


@given(
    sample=st.sampled_from([LimitRecord, CrashNews]),
    choices=st.data(),
)
def test_spoiled_row_of_our_own_tables_hides_no_other(sample, choices):
    sound = encode(make(sample, is_whole=True))
    spoiled = choices.draw(change_bytes(sound))
    rows = (
        StoredRow(key='spoiled', version=1, value=spoiled),
        StoredRow(key='empty', version=1, value=None),
        StoredRow(key='sound', version=1, value=sound),
    )
    if sample is LimitRecord:
        assert 'sound' in decode_limit_rows(rows)
    else:
        expected = decode_crash_rows(rows[2:], 100.0)
        assert set(expected) <= set(decode_crash_rows(rows, 100.0))


@given(payload=st.binary(max_size=80) | change_bytes(pack({'a': [1, 2]})))
def test_changed_packed_content_is_a_value_or_an_error(payload):
    unpack(payload, RouteTable)
    unpack(payload, tuple[ListedEndpoint, ...])


# What a head may have: Latin-1 without control characters.
HEAD_TEXT = st.text(
    st.characters(max_codepoint=255, exclude_categories=('Cc',)), max_size=40
) | st.sampled_from(
    ['nan', 'inf', '-inf', '1e400', '9' * 5000, '²,³', '-1', '1,-1', ',' * 2000]
)


@given(
    name=st.sampled_from(
        ['deadline_ms', 'token_usage', 'prompt_prefix', 'last_event_id', 'host']
    ),
    text=HEAD_TEXT,
)
@settings(max_examples=300)
def test_request_with_any_head_is_admitted_or_refused_as_not_run(name, text):
    inputs = make_admission()
    admitted = admit(make_request(**{name: text}), inputs)
    if admitted.is_error():
        assert admitted.error.verdict is Verdict.NOT_RUN
        return
    request = admitted.ok
    longest = request.route.timeout_seconds
    assert 0 <= request.deadline - request.arrived_at <= longest


@given(
    name=st.sampled_from(
        ['server-limit', 'retry-after', 'cold-ms', 'server-leaving']
    ),
    text=HEAD_TEXT,
    status=st.sampled_from([200, 421, 503]),
)
@settings(max_examples=300)
def test_signals_in_any_head_are_numbers_that_are_not_negative(
    name, text, status
):
    signals = decode_signals(ENGINE, status, ((name, text),))
    assert signals.back_off_seconds >= 0
    assert signals.cold_seconds >= 0
    assert signals.rate_limit is None or signals.rate_limit >= 0


# Guards against a deadline that is no number and ends the request at once.
@pytest.mark.parametrize('text', ['nan', '-nan', 'NaN'])
def test_deadline_that_is_no_number_is_refused(text):
    assert admit(make_request(deadline_ms=text), make_admission()).is_error()
