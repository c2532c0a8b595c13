"""How a data class says what its fields look like in YAML.

``option`` declares a field with its key, unit and meaning; the loader, the
reference page and the error texts all read the same declaration.

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
_RATES = MappingProxyType(
    {'/s': 1.0, 'k/s': 1e3, 'M/s': 1e6, '/min': 1 / 60},
)
_QUANTITY = re.compile(r'(\d+(?:\.\d+)?)([A-Za-z/]*)', re.ASCII)


@unique
class Unit(StrEnum):
    """What a number counts; its text must name the unit."""

    NONE = 'none'
    DURATION = 'duration'
    SIZE = 'size'
    TOKENS = 'tokens'
    RATE = 'rate'


@dataclass(frozen=True, kw_only=True, slots=True)
class _Scale:
    expected: str
    factors: Mapping[str, float]


_SCALES = MappingProxyType(
    {
        Unit.DURATION: _Scale(
            expected='a duration with a unit, such as 250ms, 30s, 5min or 1h',
            factors=_DURATION_SECONDS,
        ),
        Unit.SIZE: _Scale(
            expected='a size with a unit, such as 512KiB, 16MiB or 2GiB',
            factors=_SIZE_BYTES,
        ),
        Unit.TOKENS: _Scale(
            expected='a number of tokens, such as 4096, 128k or 1M',
            factors=_TOKEN_COUNTS,
        ),
        Unit.RATE: _Scale(
            expected='a rate with a unit, such as 50/s, 2k/s, 1M/s or 30/min',
            factors=_RATES,
        ),
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """The YAML side of one field.

    ``key`` is what the operator writes. ``check`` takes the value read and
    returns what was expected instead, or an empty text. ``reference`` names
    a map of the document of which each value must be a key.
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
    """Declare a data class field that the loader reads."""
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
    """Return a field's declaration, empty where it has none."""
    return declared.metadata.get(_METADATA_KEY, Option())


def key_of(declared: Field) -> str:
    """Return the key that an operator writes for the field."""
    return option_of(declared).key or declared.name


def at_least(minimum: float) -> Callable[[Any], str]:
    """Return a check that a number is not below ``minimum``."""
    expected = f'at least {minimum}'

    def check(number: float) -> str:
        return '' if number >= minimum else expected

    return check


def above_zero(number: float) -> str:
    """Check that a number is above zero."""
    return '' if number > 0 else 'more than zero'


def expected_quantity(unit: Unit) -> str:
    """Return what a value of the unit looks like, for error texts."""
    return _SCALES[unit].expected


def parse_quantity(text: str, unit: Unit) -> float | None:
    """Read a number with its unit; ``None`` when it is not one.

    >>> parse_quantity('250ms', Unit.DURATION)
    0.25
    """
    found = _QUANTITY.fullmatch(text)
    if found is None:
        return None
    number, suffix = found.groups()
    factor = _SCALES[unit].factors.get(suffix)
    return None if factor is None else float(number) * factor
