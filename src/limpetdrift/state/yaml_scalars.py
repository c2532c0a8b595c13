"""Parses YAML scalars as texts, numbers, addresses and enum members."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import EnumType
from textwrap import shorten
from types import MappingProxyType
from typing import Any

from limpetdrift.state.options import Unit, expected_quantity, parse_quantity
from limpetdrift.state.yaml_tree import (
    MappingNode,
    ScalarNode,
    SequenceNode,
    YamlNode,
    join_key,
)
from limpetdrift.transport.messages import Address, parse_listen_address

_WHOLE_NUMBER = re.compile('-?(0|[1-9][0-9]*)', re.ASCII)
_NUMBER = re.compile(r'-?(0|[1-9][0-9]*)(\.[0-9]+)?', re.ASCII)
# Longest number, sign and point included. A whole number of this length fits
# into 64 bits.
_MAX_NUMBER_CHARACTERS = 18
_MAX_SHOWN_CHARACTERS = 40
_BOOLEANS = MappingProxyType({'true': True, 'false': False})


class InvalidScalarError(Exception):
    """A scalar isn't a value of its type; the text says what was expected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ValueSpec:
    """The expected value of a node, and the node's key path.

    ``kind`` is the Python type. ``check`` returns what was expected in place
    of a value, or an empty text if the value is valid.
    """

    kind: Any
    key: str
    unit: Unit = Unit.NONE
    check: Callable[[Any], str] | None = None

    def for_part(self, kind: Any, key: str) -> 'ValueSpec':
        """Return the spec of an item or value, with the same unit and check."""
        return ValueSpec(kind=kind, key=key, unit=self.unit, check=self.check)

    def child_key(self, name: str) -> str:
        """Return the key path of ``name`` below this one."""
        return join_key(self.key, name)


def describe(node: YamlNode) -> str:
    """Return a short description of a node, for complaints."""
    if isinstance(node, SequenceNode):
        return 'a list'
    if isinstance(node, MappingNode):
        return 'a mapping'
    if not (node.text or node.quoted):
        return 'nothing'
    shown = shorten(node.text, _MAX_SHOWN_CHARACTERS, placeholder='...')
    return repr(shown) if node.quoted else shown


def parse_scalar(node: YamlNode, spec: ValueSpec) -> Any:
    """Return the value of a scalar, or raise ``InvalidScalarError``."""
    if isinstance(spec.kind, EnumType):
        return _parse_enum(node, spec.kind)
    parse = _PARSERS[spec.kind]
    expected = _EXPECTED[spec.kind]
    if spec.unit is not Unit.NONE:
        expected = expected_quantity(spec.unit)
    if not isinstance(node, ScalarNode) or node.is_null:
        raise InvalidScalarError(expected)
    if not (node.text or node.quoted):
        raise InvalidScalarError(expected)
    if spec.kind in _UNQUOTED_KINDS and node.quoted:
        raise InvalidScalarError(f'{expected}, without quotes')
    if spec.unit is not Unit.NONE:
        return _parse_with_unit(node.text, spec)
    return parse(node.text)


def _parse_with_unit(text: str, spec: ValueSpec) -> Any:
    quantity = parse_quantity(text, spec.unit)
    if quantity is None:
        raise InvalidScalarError(expected_quantity(spec.unit))
    if spec.kind is int and quantity != int(quantity):
        raise InvalidScalarError('a whole number of the smallest unit')
    return spec.kind(quantity)


def _parse_enum(node: YamlNode, kind: EnumType) -> Any:
    members = {str(each.value): each for each in kind}
    if isinstance(node, ScalarNode) and node.text in members:
        return members[node.text]
    names = ', '.join(members)
    raise InvalidScalarError(f'one of {names}')


def _parse_boolean(text: str) -> bool:
    if text not in _BOOLEANS:
        raise InvalidScalarError(_EXPECTED[bool])
    return _BOOLEANS[text]


def _parse_whole_number(text: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(text) or len(text) > _MAX_NUMBER_CHARACTERS:
        raise InvalidScalarError(_EXPECTED[int])
    return int(text)


def _parse_number(text: str) -> float:
    if not _NUMBER.fullmatch(text) or len(text) > _MAX_NUMBER_CHARACTERS:
        raise InvalidScalarError(_EXPECTED[float])
    return float(text)


def _parse_address(text: str) -> Address:
    try:
        return parse_listen_address(text)
    except ValueError as error:
        raise InvalidScalarError(_EXPECTED[Address]) from error


_PARSERS = MappingProxyType(
    {
        str: str,
        bool: _parse_boolean,
        int: _parse_whole_number,
        float: _parse_number,
        Address: _parse_address,
    },
)
_EXPECTED = MappingProxyType(
    {
        str: 'a text',
        bool: 'true or false',
        int: 'a whole number, such as 64',
        float: 'a number, such as 1.5',
        Address: 'an address, such as 127.0.0.1:8100',
    },
)
_UNQUOTED_KINDS = frozenset((bool, int, float))
