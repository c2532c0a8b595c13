"""Random bytes, numbers and heads, as other writers may send them.

All choices are hypothesis strategies, so that a failure shrinks to the shortest
input that still fails.
"""

import ast
import json
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import cache
from pathlib import Path

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

import limpetdrift

# Begins the id of a request that stands in the body of another one.
INNER_ID = 'inner'
_PACKAGE = Path(limpetdrift.__file__).parent
_HEADER_NAME = re.compile('[a-z][a-z0-9]*(-[a-z0-9]+)*')
_MAX_NAME_LENGTH = 40
# Integers at the borders of machine numbers, ports and lengths.
_BORDERS = (0, -1, 1, 65_535, 65_536, 80_800, 2**31, 2**63, 2**64, 10**310)
_NUMBERS = (
    st.sampled_from(_BORDERS)
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
)
_TEXTS = st.text(max_size=12) | st.integers(0, 10**6).map(str)
_VALUES = (
    st.none() | st.booleans() | _NUMBERS | _TEXTS | st.just([]) | st.just({})
)
_TOKENS = (b'[', b'{', b'"', b'9' * 30, b'-', b'e9', b'null', b'\xff')
# Syntax and digits come more often than other bytes.
_BYTES = st.sampled_from([bytes((code,)) for code in b'[{":,0-9e']) | (
    st.binary(min_size=1, max_size=1)
)
_MAX_REPEATS = 5000
_REPEATED_BYTES = st.builds(bytes.__mul__, _BYTES, st.integers(1, _MAX_REPEATS))
_INSERTED = st.sampled_from(_TOKENS) | st.binary(max_size=4) | _REPEATED_BYTES


def play_seed(
    inputs: st.SearchStrategy,
    check: Callable[[object], None],
    *,
    number: int,
    count: int,
    phases: Iterable[Phase] = (Phase.generate, Phase.shrink),
) -> None:
    """Call ``check`` with up to ``count`` inputs that a seed gives.

    Raises what ``check`` raises, after it was called with shorter inputs.
    """

    @seed(number)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        phases=phases,
    )
    @given(inputs)
    def check_each(found: object) -> None:
        check(found)

    check_each()


@st.composite
def change_bytes(draw: st.DrawFn, sample: bytes) -> bytes:
    """Draw a sample with up to three parts replaced."""
    changed = sample
    for _ in range(draw(st.integers(0, 3))):
        first = draw(st.integers(0, len(changed)))
        last = min(len(changed), first + draw(st.integers(0, 4)))
        changed = changed[:first] + draw(_INSERTED) + changed[last:]
    return changed


@st.composite
def cut_bytes(draw: st.DrawFn, sample: bytes) -> bytes:
    """Draw the begin of a sample, and one byte again and again after it."""
    begin = sample[: draw(st.integers(0, len(sample)))]
    return begin + draw(_REPEATED_BYTES)


@st.composite
def change_text(draw: st.DrawFn, sample: str) -> str:
    """Draw a text with one character more, less or another."""
    at = draw(st.integers(0, len(sample)))
    rest = sample[at + draw(st.integers(0, 1)) :]
    added = draw(st.text(st.characters(codec='utf-8'), max_size=1))
    digit = draw(st.sampled_from(('', '0', '9', '.', ':', '-')))
    return ''.join((sample[:at], added, digit, rest))


@st.composite
def change_document(draw: st.DrawFn, sample: dict[str, object]) -> bytes:
    """Draw a JSON object with one field changed, or with changed bytes."""
    name = draw(st.sampled_from(sorted(sample)))
    changed = dict(sample)
    old = sample[name]
    if isinstance(old, str):
        changed[name] = draw(change_text(old) | _VALUES)
    else:
        changed[name] = draw(_VALUES)
    payload = json.dumps(sample).encode()
    return draw(
        st.just(json.dumps(changed).encode())
        | change_bytes(payload)
        | cut_bytes(payload)
    )


@cache
def known_header_names() -> tuple[str, ...]:
    """Return all texts of the package's modules that may name a header."""
    found = set()
    for path in _PACKAGE.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text('utf-8'))):
            text = getattr(node, 'value', None)
            if isinstance(node, ast.Constant) and isinstance(text, str):
                is_name = _HEADER_NAME.fullmatch(text)
                if is_name and '-' in text and len(text) <= _MAX_NAME_LENGTH:
                    found.add(text)
    return tuple(sorted(found))


@dataclass(frozen=True, kw_only=True)
class SentRequest:
    """A request as a caller means it, and the bytes that it sends.

    ``is_plain`` is set if it has nothing that a server may refuse.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    payload: bytes
    is_plain: bool


@dataclass(frozen=True, kw_only=True)
class Framing:
    """The headers that tell where a body ends, and how it is sent.

    ``is_plain`` is set if all readers agree on its end.
    """

    headers: tuple[str, ...]
    is_chunked: bool
    is_plain: bool


def _framings(length: int) -> st.SearchStrategy[Framing]:
    by_length = f'Content-Length: {length}'
    by_chunks = 'Transfer-Encoding: chunked'
    plain = (
        Framing(headers=(by_length,), is_chunked=False, is_plain=True),
        Framing(headers=(by_chunks,), is_chunked=True, is_plain=True),
    )
    both = Framing(
        headers=(by_length, by_chunks), is_chunked=True, is_plain=False
    )
    return st.sampled_from(
        (
            *plain,
            both,
            replace(both, headers=(by_chunks, by_length)),
            replace(both, is_chunked=False),
        )
    )


@st.composite
def _header(draw: st.DrawFn) -> str:
    name = draw(
        st.sampled_from(known_header_names())
        | st.sampled_from(('connection', 'x', 'host', 'expect'))
    )
    text = draw(
        st.sampled_from(('/a/other', 'PUT', '1', 'nan', '-1', 'close', '1,1'))
        | st.sampled_from(known_header_names())
        | _TEXTS.map(lambda found: ''.join(filter(str.isalnum, found)))
    )
    text = text.encode('ascii', 'ignore').decode()
    return (
        f'{draw(st.sampled_from((name, name.title(), name.upper())))}: {text}'
    )


@st.composite
def sent_requests(
    draw: st.DrawFn, number: int, key: str, target: str
) -> SentRequest:
    """Draw a request with the id ``rN``, some with another one in its body."""
    request_id = f'r{number}'
    own_head = (
        'Host: shop.example',
        f'Attempt-Id: {request_id}',
        f'Authorization: Bearer {key}',
        'Deadline-Ms: 5000',
    )
    inner = _encode(
        'POST',
        target,
        (
            *own_head[:1],
            f'Attempt-Id: {INNER_ID}{number}',
            *own_head[2:],
            'Content-Length: 0',
        ),
        b'',
    )
    body = draw(st.sampled_from((b'', b'body', inner, b'0\r\n\r\n' + inner)))
    method = draw(st.sampled_from(('POST', 'GET', 'PUT', 'CONNECT')))
    added = draw(st.lists(_header(), max_size=3))
    framing = draw(_framings(len(body)))
    line_end = draw(st.sampled_from((b'\r\n', b'\r\n', b'\r\n', b'\n')))
    encoded = _chunk(body) if framing.is_chunked else body
    head = draw(st.permutations((*own_head, *added, *framing.headers)))
    return SentRequest(
        request_id=request_id,
        method=method,
        target=target,
        body=body,
        payload=_encode(method, target, head, encoded, line_end),
        is_plain=(
            framing.is_plain
            and not added
            and method != 'CONNECT'
            and line_end == b'\r\n'
        ),
    )


def _chunk(body: bytes) -> bytes:
    if not body:
        return b'0\r\n\r\n'
    return b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


def _encode(
    method: str,
    target: str,
    head: Iterable[str],
    body: bytes,
    line_end: bytes = b'\r\n',
) -> bytes:
    lines = (f'{method} {target} HTTP/1.1', *head, '', '')
    return line_end.join(line.encode() for line in lines) + body
