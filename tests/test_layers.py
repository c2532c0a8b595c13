"""Tests that imports between packages go one way.

With a circle, or an arrow to a higher layer, a decision can't be read or tested
without what is above it.
"""

import re
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

import limpetdrift

PACKAGE = Path(limpetdrift.__file__).parent
# Each layer may import those before it. Modules at the top level of the package
# that several layers use come first.
LAYERS = (
    frozenset(
        (
            'clocks',
            'error_logs',
            'logs',
            'supervision',
            'telemetry',
            'telemetry_export',
            'verdict',
        )
    ),
    frozenset(('transport',)),
    frozenset(('protocol',)),
    frozenset(('state',)),
    frozenset(('coordination',)),
    frozenset(('build_version', 'callers', 'client', 'operators', 'settings')),
    frozenset(('loads', 'replays')),
    frozenset(('programs',)),
    frozenset(('platform',)),
)
_IMPORT = re.compile(
    r'^(?:from|import) (limpetdrift(?:\.\w+)*)(?: import (\w+))?', re.MULTILINE
)


def imported_names(path: Path) -> set[str]:
    """Return the modules that a file imports when it is loaded."""
    found = set()
    for module, name in _IMPORT.findall(path.read_text('utf-8')):
        found.add(module)
        if module == 'limpetdrift':
            found.add(f'{module}.{name}')
    return found


def layer_of(part: str) -> int:
    """Return the number of the layer of a top-level package or module."""
    return next(number for number, layer in enumerate(LAYERS) if part in layer)


def top_part(path: Path) -> str:
    return path.relative_to(PACKAGE).parts[0].removesuffix('.py')


FILES = sorted(
    path for path in PACKAGE.rglob('*.py') if path != PACKAGE / '__init__.py'
)


@pytest.mark.parametrize('part', sorted({top_part(each) for each in FILES}))
def test_no_layer_imports_a_higher_one(part):
    own = layer_of(part)
    higher = {
        (path.name, module)
        for path in FILES
        if top_part(path) == part
        for module in imported_names(path)
        if module.count('.') and layer_of(module.split('.')[1]) > own
    }
    assert not higher


def test_packages_of_coordination_have_no_circle():
    root = PACKAGE / 'coordination'
    graph: dict[str, set[str]] = {}
    for path in root.glob('*/*.py'):
        package = path.parent.name
        others = {
            module.split('.')[2]
            for module in imported_names(path)
            if module.startswith('limpetdrift.coordination.')
        }
        graph.setdefault(package, set()).update(others - {package})
    order = tuple(TopologicalSorter(graph).static_order())
    assert set(graph) <= set(order)
