"""The typed YAML loader: accepted values and complaints."""

from dataclasses import dataclass
from enum import StrEnum

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.state.checked_yaml import load_document
from limpetdrift.state.options import Unit, above_zero, option
from limpetdrift.transport.messages import Address


class Colour(StrEnum):
    RED = 'red'
    BLUE = 'blue'


@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    name: str
    wait_seconds: float = option(1.0, key='wait', unit=Unit.DURATION)
    body_bytes: int = option(1, key='body', unit=Unit.SIZE)
    context_tokens: int = option(1, key='context', unit=Unit.TOKENS)
    rate: float = option(1.0, unit=Unit.RATE, check=above_zero)
    copies: int = 1
    share: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Whole:
    address: Address | None = None
    peers: tuple[Address, ...] = ()
    colour: Colour = Colour.RED
    on: bool = False
    texts: tuple[str, ...] = ()
    parts: dict[str, Part] = option(default_factory=dict)


GOOD = """
address: 127.0.0.1:8100
peers: [127.0.0.1:1, "127.0.0.1:2"]
colour: blue
on: true
texts: [no, 010, 2026-12-03, 1.10, "null"]
parts:
  a: {name: yes, wait: 250ms, body: 16MiB, context: 128k, rate: 30/min}
"""


def load(text):
    return load_document(text, 'f.yaml', Whole)


def only_complaint(text):
    complaints = load(text).error
    assert len(complaints) == 1
    return complaints[0]


def test_every_type_and_unit_is_loaded():
    whole = load(GOOD).ok
    assert whole.address == Address(host='127.0.0.1', port=8100)
    assert [peer.port for peer in whole.peers] == [1, 2]
    assert whole.colour is Colour.BLUE
    assert whole.on is True
    assert whole.texts == ('no', '010', '2026-12-03', '1.10', 'null')
    assert whole.parts['a'] == Part(
        name='yes',
        wait_seconds=0.25,
        body_bytes=16 << 20,
        context_tokens=128 << 10,
        rate=0.5,
    )


@pytest.mark.parametrize(
    ('line', 'key', 'expected', 'found'),
    [
        ('on: yes', 'on', 'true or false', 'yes'),
        ('colour: green', 'colour', 'red, blue', 'green'),
        ('address: here', 'address', '127.0.0.1:8100', 'here'),
        ('texts: one', 'texts', 'a list', 'one'),
        ('texts: [[a]]', 'texts[0]', 'a text', 'a list'),
        ('parts: [a]', 'parts', 'a mapping', 'a list'),
        ('parts:', 'parts', 'a mapping', 'nothing'),
        ('parts: {a: {}}', 'parts.a.name', 'a value', 'nothing'),
        ('speed: 1', 'speed', 'address, peers', 'an unknown key'),
        ('on: true\non: true', 'on', 'each key once', '2'),
        ('on: &x true', '', 'no anchor', 'x'),
        ('on: !!bool true', '', 'no explicit tag', 'bool'),
        ('on: {', '', 'one YAML document', 'expected'),
        ('on: true\n--- {}', '', 'one YAML document', 'another document'),
    ],
)
def test_a_complaint_names_file_line_key_and_expected_value(
    line, key, expected, found
):
    complaint = only_complaint(f'# a comment\n{line}\n')
    assert (complaint.file, complaint.key) == ('f.yaml', key)
    assert complaint.line in (2, 3, 4)
    assert expected in complaint.expected
    assert found in complaint.found


@pytest.mark.parametrize(
    'pair',
    [
        'wait: 30',
        'wait: 30 parsecs',
        'wait: -1s',
        'wait: "30s"',
        'body: 16',
        'body: 0.5B',
        'rate: 50',
        'rate: 0/s',
        'copies: 010',
        'copies: 0x10',
        'copies: 1_000',
        'copies: "3"',
        'copies: 1.5',
        'share: .inf',
        'share: 1e3',
        'copies: null',
    ],
)
def test_a_number_in_another_notation_is_refused(pair):
    complaint = only_complaint(f'parts:\n  a:\n    name: x\n    {pair}\n')
    assert complaint.line == 4
    assert complaint.key == 'parts.a.' + pair.split(':')[0]


def test_all_errors_are_reported_at_once():
    text = 'on: maybe\nspeed: 1\nparts: {a: {wait: 3}}\n'
    keys = {each.key for each in load(text).error}
    assert keys == {'on', 'speed', 'parts.a.name', 'parts.a.wait'}


@pytest.mark.parametrize('text', ['', '[]', 'x', '[' * 10_000, '{' * 500])
def test_a_document_that_is_no_mapping_is_refused(text):
    assert load(text).is_error()


@given(st.text(max_size=60))
def test_any_text_is_loaded_or_refused_with_a_line(text):
    loaded = load(text)
    assert loaded.is_ok() or all(each.line >= 1 for each in loaded.error)
