"""Renders the configuration options as the tables of docs/CONFIGURATION.md.

The tables are made from the options declared in ``limpetdrift.state.site``.
"""

import sys
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields
from enum import Enum
from typing import get_type_hints

from limpetdrift.state.options import (
    Unit,
    expected_quantity,
    key_of,
    option_of,
)
from limpetdrift.state.site import (
    AccountConfig,
    ModelConfig,
    ServiceConfig,
    SiteConfig,
    UrgencyConfig,
)

START_MARK = '<!-- options: made by limpetdrift.state.reference -->'
END_MARK = '<!-- end of options -->'
_SECTIONS = (
    ('Top level', SiteConfig),
    ('Each of `models`', ModelConfig),
    ('Each of `accounts`', AccountConfig),
    ('Each of `urgencies`', UrgencyConfig),
    ('Each of `services`', ServiceConfig),
)
_TYPE_TEXTS = (
    (str, 'a text'),
    (int, 'a whole number'),
    (float, 'a number'),
    (tuple[str, ...], 'a list of texts'),
)


def render_reference() -> str:
    """Return Markdown tables of all options, between the page's marks."""
    lines = [START_MARK]
    for title, kind in _SECTIONS:
        lines.extend(_section(title, kind))
    lines.extend(('', END_MARK))
    return '\n'.join(lines)


def _section(title: str, kind: type) -> Iterator[str]:
    yield f'\n### {title}\n'
    yield '| Key | Value | Default | Meaning |'
    yield '|---|---|---|---|'
    hints = get_type_hints(kind)
    for declared in fields(kind):
        expected = _expected_value(declared, hints[declared.name])
        cells = (f'`{key_of(declared)}`', expected, _default(declared))
        leading_cells = ' | '.join(cells)
        about = option_of(declared).about
        row = ' | '.join((leading_cells, about))
        yield f'| {row} |'


def _expected_value(declared: Field, hint: object) -> str:
    declared_option = option_of(declared)
    if declared_option.unit is not Unit.NONE:
        return expected_quantity(declared_option.unit)
    if declared_option.reference:
        return f'names from `{declared_option.reference}`'
    return dict(_TYPE_TEXTS).get(hint, 'a mapping by name')


def _default(declared: Field) -> str:
    if declared.default is not MISSING:
        return _default_text(declared)
    if declared.default_factory is not MISSING:
        return 'none'
    return 'required'


def _default_text(declared: Field) -> str:
    default = declared.default
    if isinstance(default, tuple):
        return ', '.join(default) or 'none'
    if isinstance(default, Enum):
        return str(default.value)
    suffix = _UNIT_SUFFIXES.get(option_of(declared).unit, '')
    shown = _number_text(default)
    if not shown:
        return 'empty'
    return f'{shown}{suffix}'


def _number_text(default: object) -> str:
    if isinstance(default, float) and default.is_integer():
        return str(int(default))
    return str(default)


_UNIT_SUFFIXES = {Unit.DURATION: 's', Unit.RATE: '/s'}  # noqa: WPS407

if __name__ == '__main__':
    sys.stdout.write(f'{render_reference()}\n')
