"""Declares how the fields of a data class are written in YAML.

``option`` declares a field with its key, unit and description. The loader,
the reference page and the error messages all use this declaration.

>>> @dataclass(frozen=True, kw_only=True, slots=True)
... class Limits:
...     idle_seconds: float = option(
...         75.0, key='idle', unit=Unit.DURATION, about='Wait for a request.'
...     )
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field
from enum import StrEnum, unique
from types import MappingProxyType
from typing import Any

_METADATA_KEY = 'option'
_DURATION_SECONDS = MappingProxyType(
    {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0},
)
_SIZE_BYTES = MappingProxyType(
    {'B': 1, 'KiB': 2**10, 'MiB': 2**20, 'GiB': 2**30},  # noqa: WPS432
)
_TOKEN_COUNTS = MappingProxyType(
    {'': 1, 'k': 2**10, 'M': 2**20},  # noqa: WPS432
)
_RATES_PER_SECOND = MappingProxyType(
    {'/s': 1.0, 'k/s': 1e3, 'M/s': 1e6, '/min': 1 / 60},
)
_QUANTITY = re.compile(r'(\d+(?:\.\d+)?)([A-Za-z/]*)', re.ASCII)


@unique
class Unit(StrEnum):
    """The unit that a number is written with in YAML.

    The suffix is required, except for ``TOKENS`` and ``NONE``: a count of
    tokens may have one, and a plain number has none.
    """

    NONE = 'none'
    DURATION = 'duration'
    SIZE = 'size'
    TOKENS = 'tokens'
    RATE = 'rate'


@dataclass(frozen=True, kw_only=True, slots=True)
class _UnitFormat:
    """A description of a unit's texts, and the factor of each suffix."""

    expected: str
    factors: Mapping[str, float]


_UNIT_FORMATS = MappingProxyType(
    {
        Unit.DURATION: _UnitFormat(
            expected='a duration with a unit, such as 250ms, 30s, 5min or 1h',
            factors=_DURATION_SECONDS,
        ),
        Unit.SIZE: _UnitFormat(
            expected='a size with a unit, such as 512KiB, 16MiB or 2GiB',
            factors=_SIZE_BYTES,
        ),
        Unit.TOKENS: _UnitFormat(
            expected='a number of tokens, such as 4096, 128k or 1M',
            factors=_TOKEN_COUNTS,
        ),
        Unit.RATE: _UnitFormat(
            expected='a rate with a unit, such as 50/s, 2k/s, 1M/s or 30/min',
            factors=_RATES_PER_SECOND,
        ),
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """The declaration of one field.

    ``key`` is the YAML key, by default the field's name. ``about`` is the
    description in the reference page. ``check`` takes a parsed scalar, for
    lists and mappings each one in them, and returns what was expected in its
    place, or an empty text if it is valid. ``reference`` is the name of a
    top-level mapping that must have each value as a key.
    """

    key: str = ''
    unit: Unit = Unit.NONE
    about: str = ''
    check: Callable[[Any], str] | None = None
    reference: str = ''


def option(  # noqa: WPS211
    default: Any = MISSING,
    *,
    key: str = '',
    unit: Unit = Unit.NONE,
    about: str = '',
    check: Callable[[Any], str] | None = None,
    reference: str = '',
    default_factory: Any = MISSING,
) -> Any:
    """Return a data class field with its YAML declaration."""
    declared = Option(
        key=key,
        unit=unit,
        about=about,
        check=check,
        reference=reference,
    )
    metadata = {_METADATA_KEY: declared}
    if default_factory is not MISSING:
        return field(default_factory=default_factory, metadata=metadata)
    return field(default=default, metadata=metadata)


def option_of(declared: Field) -> Option:
    """Return a field's declaration, by default an empty one."""
    return declared.metadata.get(_METADATA_KEY, Option())


def key_of(declared: Field) -> str:
    """Return the YAML key of a field."""
    return option_of(declared).key or declared.name


def at_least(minimum: float) -> Callable[[Any], str]:
    """Return a check that a number is ``minimum`` or more."""
    expected = f'at least {minimum}'

    def check(number: float) -> str:
        return '' if number >= minimum else expected

    return check


def above_zero(number: float) -> str:
    """Return an empty text for a number above zero, else what was expected."""
    return '' if number > 0 else 'more than zero'


def expected_quantity(unit: Unit) -> str:
    """Return a description of a value with the unit, for error messages."""
    return _UNIT_FORMATS[unit].expected


def parse_quantity(text: str, unit: Unit) -> float | None:
    """Return the number in seconds, bytes, tokens or events per second.

    The result is ``None`` for a text that isn't a number with a suffix of the
    unit, which must not be ``Unit.NONE``.

    >>> parse_quantity('250ms', Unit.DURATION)
    0.25
    """
    match = _QUANTITY.fullmatch(text)
    if match is None:
        return None
    number, suffix = match.groups()
    factor = _UNIT_FORMATS[unit].factors.get(suffix)
    return None if factor is None else float(number) * factor
