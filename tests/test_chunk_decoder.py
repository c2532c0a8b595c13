"""Bodies in chunks are read as h11 reads them, wherever their parts end."""

import time

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.transport.bad_input import BadInputError
from limpetdrift.transport.bodies import BodyBuffer, ChunkDecoder

HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
MAX_BODY_BYTES = 400
MAX_LINE_BYTES = 60
NEXT_REQUEST = b'GET /next HTTP/1.1\r\n'
FAULTY = (
    b'g\r\n',
    b'\r\n',
    b'-1\r\na\r\n',
    b'0x1\r\na\r\n',
    b'1_0\r\na\r\n',
    b' 1\r\na\r\n',
    b'1\na\r\n',
    b'1\r\nab\r\n0\r\n\r\n',
    b'1\r\na\n0\r\n\r\n',
    b'123456789012345678901\r\n',
    b'0\r\n bad\r\n\r\n',
    b'0\r\nbad\r\n\r\n',
    b'0\r\na: b\n\n',
)


@st.composite
def chunked_texts(draw):
    """Draw a body, and its bytes on the wire in chunks of any size."""
    chunks = draw(st.lists(st.binary(min_size=1, max_size=40), max_size=8))
    wire = b''
    for chunk in chunks:
        digits = draw(st.integers(1, 5))
        size = format(len(chunk), 'x').zfill(digits)
        extension = draw(st.sampled_from(['', ';a=b', ';x', '  ', '\t']))
        wire += f'{size}{extension}\r\n'.encode() + chunk + b'\r\n'
    trailer = draw(st.sampled_from([b'', b'a: b\r\n', b'a: b\r\nc: d\r\n']))
    return b''.join(chunks), wire + b'0\r\n' + trailer + b'\r\n'


def decode(parts):
    """Return the body, whether it is whole, and the bytes after it."""
    decoder = ChunkDecoder(
        max_bytes=MAX_BODY_BYTES, max_line_bytes=MAX_LINE_BYTES
    )
    buffer = BodyBuffer()
    received = bytearray()
    for part in parts:
        received += part
        if decoder.end is None:
            buffer.append(decoder.decode(received))
    return buffer.join(), decoder.end, bytes(received)


def split(text, sizes):
    parts = []
    for size in sizes:
        parts.append(text[:size])
        text = text[size:]
    return [*parts, text]


@given(chunked_texts(), st.lists(st.integers(0, 30), max_size=30))
def test_chunked_bodies_are_read_whole_in_any_parts(drawn, sizes):
    body, wire = drawn
    read, end, rest = decode(split(wire + NEXT_REQUEST, sizes))
    assert read == body
    assert rest == NEXT_REQUEST
    reader = h11.Connection(h11.SERVER)
    reader.receive_data(HEAD + end)
    assert isinstance(reader.next_event(), h11.Request)
    assert isinstance(reader.next_event(), h11.EndOfMessage)


@given(chunked_texts(), st.data())
def test_body_that_stops_short_is_not_whole(drawn, data):
    body, wire = drawn
    length = data.draw(st.integers(0, len(wire) - 1))
    read, end, _ = decode([wire[:length]])
    assert end is None
    assert body.startswith(read)


@pytest.mark.parametrize('wire', FAULTY)
@pytest.mark.parametrize('size', [1, 1000])
def test_faulty_chunks_are_refused(wire, size):
    parts = [wire[at : at + size] for at in range(0, len(wire), size)]
    with pytest.raises((BadInputError, h11.RemoteProtocolError)):
        read_with_h11_end(parts)


def read_with_h11_end(parts):
    _, end, _ = decode(parts)
    reader = h11.Connection(h11.SERVER)
    reader.receive_data(HEAD + (end or b''))
    reader.next_event()
    reader.next_event()


@pytest.mark.parametrize(
    ('wire', 'status'),
    [
        (b'ffffffffff\r\n', 413),
        (b'191\r\n', 413),
        (b'c8\r\n' + b'z' * 200 + b'\r\nc9\r\n', 413),
        (b'1;' + b'x' * 100, 431),
        (b'0\r\na: ' + b'x' * 100, 431),
    ],
)
def test_chunk_over_a_limit_is_refused_at_its_begin(wire, status):
    with pytest.raises(BadInputError) as caught:
        decode([wire])
    assert caught.value.status == status


def test_body_of_the_limit_is_whole():
    read, end, _ = decode([b'190\r\n', b'z' * MAX_BODY_BYTES, b'\r\n0\r\n\r\n'])
    assert len(read) == MAX_BODY_BYTES
    assert end == b'0\r\n\r\n'


def test_blanks_in_the_line_of_a_size_take_linear_time():
    """Guards against a caller whose unfinished line stops the event loop."""
    line = bytearray(b'1;' + b' ' * 200_000)
    decoder = ChunkDecoder(max_bytes=10, max_line_bytes=300_000)
    began_at = time.process_time()
    assert decoder.decode(line) == b''
    # Quadratic time takes minutes.
    assert time.process_time() - began_at < 5
