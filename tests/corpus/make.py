"""Writes sample messages of one build, for the tests of other builds.

Run it with the sources of that build, an export of a commit:

    PYTHONPATH=BUILD/src python tests/corpus/make.py COMMIT

The samples are made from the types of the fields: one with all fields, and one
with those alone that have no default.
"""

import enum
import json
import sys
import types
import typing
from dataclasses import MISSING, fields, is_dataclass
from importlib import import_module
from pathlib import Path

import msgspec

from limpetdrift.transport.messages import Address

MODULES = (
    'crashes',
    'gossip',
    'limits',
    'links',
    'node',
    'plans',
    'quarantine',
    'route_table',
    'routing_sync',
    'verdict',
)
SCALARS = {
    int: 3,
    float: 1.5,
    str: 'text',
    bool: True,
    bytes: b'bytes',
    msgspec.Raw: msgspec.Raw(b'{}'),
    Address: Address(host='127.0.0.1', port=3),
}
# Texts that a class checks, by the names of their fields.
TEXTS = {'address': '127.0.0.1:3'}


def sample(kind: object) -> object:
    """Return a value of a type, with all fields of data classes."""
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    scalar = SCALARS.get(kind)
    if scalar is not None:
        return scalar
    if origin in {typing.Union, types.UnionType}:
        return sample(
            next(each for each in arguments if each is not types.NoneType)
        )
    if origin is tuple:
        counted = [each for each in arguments if each != Ellipsis]
        return tuple(sample(each) for each in counted)
    if origin is frozenset:
        return frozenset((sample(arguments[0]),))
    if origin is dict:
        return {sample(arguments[0]): sample(arguments[1])}
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    if not is_dataclass(kind):
        raise TypeError(f'no sample of {kind!r}')
    return make(kind, is_whole=True)


def make(kind: type, *, is_whole: bool) -> object:
    """Return a data class with all fields, or those that it requires."""
    hints = typing.get_type_hints(kind)
    return kind(
        **{
            each.name: sample_field(each.name, hints[each.name])
            for each in fields(kind)
            if is_whole or is_required(each)
        }
    )


def sample_field(name: str, kind: object) -> object:
    """Return a value of a field."""
    if kind is str and name in TEXTS:
        return TEXTS[name]
    return sample(kind)


def is_required(field: object) -> bool:
    """Return whether a field of a data class has no default."""
    return field.default is MISSING and field.default_factory is MISSING


def describe(kind: type) -> dict[str, object]:
    """Return the samples of a class, and the fields that it requires."""
    return {
        'whole': json.loads(msgspec.json.encode(make(kind, is_whole=True))),
        'least': json.loads(msgspec.json.encode(make(kind, is_whole=False))),
        'required': [each.name for each in fields(kind) if is_required(each)],
    }


def main() -> None:
    """Write the samples of all messages to a file named by the commit."""
    found = {}
    for name in MODULES:
        try:
            module = import_module(f'limpetdrift.protocol.{name}')
        except ModuleNotFoundError:
            # Earlier builds have fewer messages.
            continue
        for kind in module.__dict__.values():
            if is_dataclass(kind) and kind.__module__ == module.__name__:
                found[kind.__qualname__] = describe(kind)
    path = Path(__file__).with_name(f'{sys.argv[1]}.json')
    path.write_text(json.dumps(found, indent=1, sort_keys=True) + '\n')


if __name__ == '__main__':
    main()
