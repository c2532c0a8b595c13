"""Single YAML values read as texts, numbers, addresses and enumerations."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import EnumType
from textwrap import shorten
from types import MappingProxyType
from typing import Any

from limpetdrift.state.options import Unit, expected_quantity, parse_quantity
from limpetdrift.state.yaml_tree import Branch, Listing, Scalar, Tree, join_key
from limpetdrift.transport.messages import Address, parse_address

_WHOLE_NUMBER = re.compile('-?(0|[1-9][0-9]*)', re.ASCII)
_NUMBER = re.compile(r'-?(0|[1-9][0-9]*)(\.[0-9]+)?', re.ASCII)
_MAX_DIGITS = 18
_MAX_SHOWN_CHARACTERS = 40
_BOOLEANS = MappingProxyType({'true': True, 'false': False})


class RefusedError(Exception):
    """A text is not a value of its type; says what was expected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """What a node shall become, and where it stands."""

    kind: Any
    key: str
    unit: Unit = Unit.NONE
    check: Callable[[Any], str] | None = None

    def inner(self, kind: Any, key: str) -> 'Place':
        """Return the place of a part, with the same unit and check."""
        return Place(kind=kind, key=key, unit=self.unit, check=self.check)

    def key_below(self, name: str) -> str:
        """Return the key path of one of its parts."""
        return join_key(self.key, name)


def describe(tree: Tree) -> str:
    """Return a short text of what a node is, for complaints."""
    if isinstance(tree, Listing):
        return 'a list'
    if isinstance(tree, Branch):
        return 'a mapping'
    if not (tree.text or tree.quoted):
        return 'nothing'
    shown = shorten(tree.text, _MAX_SHOWN_CHARACTERS, placeholder='...')
    return repr(shown) if tree.quoted else shown


def parse_scalar(tree: Tree, place: Place) -> Any:
    """Return the value of a scalar, or raise ``RefusedError``."""
    if isinstance(place.kind, EnumType):
        return _parse_enum(tree, place.kind)
    parse = _PARSERS[place.kind]
    expected = _EXPECTED[place.kind]
    if place.unit is not Unit.NONE:
        expected = expected_quantity(place.unit)
    if not isinstance(tree, Scalar) or tree.is_null:
        raise RefusedError(expected)
    if not (tree.text or tree.quoted):
        raise RefusedError(expected)
    if place.kind in _NEVER_QUOTED and tree.quoted:
        raise RefusedError(f'{expected}, without quotes')
    if place.unit is not Unit.NONE:
        return _parse_unit(tree.text, place)
    return parse(tree.text)


def _parse_unit(text: str, place: Place) -> Any:
    quantity = parse_quantity(text, place.unit)
    if quantity is None:
        raise RefusedError(expected_quantity(place.unit))
    if place.kind is int and quantity != int(quantity):
        raise RefusedError('a whole number of the smallest unit')
    return place.kind(quantity)


def _parse_enum(tree: Tree, kind: EnumType) -> Any:
    members = {str(each.value): each for each in kind}
    if isinstance(tree, Scalar) and tree.text in members:
        return members[tree.text]
    names = ', '.join(members)
    raise RefusedError(f'one of {names}')


def _parse_boolean(text: str) -> bool:
    if text not in _BOOLEANS:
        raise RefusedError(_EXPECTED[bool])
    return _BOOLEANS[text]


def _parse_whole_number(text: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(text) or len(text) > _MAX_DIGITS:
        raise RefusedError(_EXPECTED[int])
    return int(text)


def _parse_number(text: str) -> float:
    if not _NUMBER.fullmatch(text) or len(text) > _MAX_DIGITS:
        raise RefusedError(_EXPECTED[float])
    return float(text)


def _parse_address(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise RefusedError(_EXPECTED[Address]) from error


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
_NEVER_QUOTED = frozenset((bool, int, float))
