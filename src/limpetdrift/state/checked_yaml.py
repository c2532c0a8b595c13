"""Reads YAML into frozen data classes, and reports all that is wrong at once.

What each field may hold is said by its type and by its ``option``:

>>> loaded = load_document('port: 8100', 'entry.yaml', Settings)
>>> loaded.ok.port
8100

Text is read as it is written: a bare ``no``, ``010`` or ``2026-12-03`` is
text where text is expected, and refused where a boolean or a number is.
"""

import types
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from expression import Result

from limpetdrift.protocol.configuration import Complaint, Complaints
from limpetdrift.state.options import key_of, option_of
from limpetdrift.state.yaml_scalars import (
    Place,
    RefusedError,
    describe,
    parse_scalar,
)
from limpetdrift.state.yaml_tree import (
    Branch,
    Listing,
    Mark,
    Scalar,
    Tree,
    parse_tree,
)
from limpetdrift.transport.messages import Address

Document = TypeVar('Document')

_UNIONS = frozenset((Union, types.UnionType))


def load_document(
    text: str,
    file_name: str,
    kind: type[Document],
) -> Result[Document, Complaints]:
    """Read YAML text into the data class ``kind``."""
    return parse_tree(text, file_name).bind(lambda tree: read_tree(tree, kind))


def read_tree(
    tree: Branch, kind: type[Document]
) -> Result[Document, Complaints]:
    """Read a parsed or merged tree into the data class ``kind``."""
    reader = _TypedReader()
    document = reader.read(tree, Place(kind=kind, key=''))
    if reader.complaints:
        return Result.Error(tuple(reader.complaints))
    return Result.Ok(document)


class _TypedReader:
    """Reads nodes by their types and gathers complaints."""

    def __init__(self) -> None:
        self.complaints: list[Complaint] = []

    def read(self, tree: Tree, place: Place) -> Any:
        """Return the node's value; ``None`` after a complaint."""
        origin = get_origin(place.kind)
        if origin in _UNIONS:
            return self._read_optional(tree, place)
        if is_dataclass(place.kind) and place.kind is not Address:
            return self._read_data_class(tree, place)
        if origin is tuple:
            return self._read_tuple(tree, place)
        if origin is dict:
            return self._read_map(tree, place)
        return self._read_scalar(tree, place)

    def _refuse(self, mark: Mark, key: str, expected: str, found: str) -> None:
        self.complaints.append(
            Complaint(
                file=mark.file,
                line=mark.line,
                key=key,
                expected=expected,
                found=found,
            ),
        )

    def _read_optional(self, tree: Tree, place: Place) -> Any:
        if isinstance(tree, Scalar) and tree.is_null:
            return None
        wanted = [
            kind for kind in get_args(place.kind) if kind is not types.NoneType
        ]
        return self.read(tree, place.inner(wanted[0], place.key))

    def _read_tuple(self, tree: Tree, place: Place) -> Any:
        if not isinstance(tree, Listing):
            self._refuse(tree.mark, place.key, 'a list', describe(tree))
            return None
        item_kind = get_args(place.kind)[0]
        return tuple(
            self.read(node, place.inner(item_kind, f'{place.key}[{index}]'))
            for index, node in enumerate(tree.nodes)
        )

    def _read_map(self, tree: Tree, place: Place) -> Any:
        if not isinstance(tree, Branch):
            self._refuse(tree.mark, place.key, 'a mapping', describe(tree))
            return None
        item_kind = get_args(place.kind)[1]
        return {
            name: self.read(
                node,
                place.inner(item_kind, place.key_below(name)),
            )
            for name, node in tree.nodes.items()
        }

    def _read_data_class(self, tree: Tree, place: Place) -> Any:
        if not isinstance(tree, Branch):
            self._refuse(tree.mark, place.key, 'a mapping', describe(tree))
            return None
        known = {key_of(each): each for each in fields(place.kind)}
        self._refuse_unknown(tree, place, known)
        before = len(self.complaints)
        hints = get_type_hints(place.kind)
        self._refuse_missing(tree, place, known)
        contents = {
            known[key].name: self.read(
                node,
                _field_place(known[key], hints, place),
            )
            for key, node in tree.nodes.items()
            if key in known
        }
        if len(self.complaints) > before:
            return None
        return place.kind(**contents)

    def _refuse_missing(
        self,
        tree: Branch,
        place: Place,
        known: dict[str, Field],
    ) -> None:
        for name, declared in known.items():
            if _is_required(declared) and name not in tree.nodes:
                path = place.key_below(name)
                self._refuse(tree.mark, path, 'a value', 'nothing')

    def _refuse_unknown(
        self,
        tree: Branch,
        place: Place,
        known: dict[str, Field],
    ) -> None:
        names = ', '.join(known)
        expected = f'one of {names}'
        for name in tree.nodes:
            if name not in known:
                path = place.key_below(name)
                self._refuse(
                    tree.key_marks[name],
                    path,
                    expected,
                    'an unknown key',
                )

    def _read_scalar(self, tree: Tree, place: Place) -> Any:
        try:
            parsed = parse_scalar(tree, place)
        except RefusedError as error:
            self._refuse(tree.mark, place.key, str(error), describe(tree))
            return None
        expected = place.check(parsed) if place.check else ''
        if expected:
            self._refuse(tree.mark, place.key, expected, describe(tree))
        return parsed


def _field_place(declared: Field, hints: dict[str, Any], outer: Place) -> Place:
    declared_option = option_of(declared)
    return Place(
        kind=hints[declared.name],
        key=outer.key_below(key_of(declared)),
        unit=declared_option.unit,
        check=declared_option.check,
    )


def _is_required(declared: Field) -> bool:
    return declared.default is MISSING and declared.default_factory is MISSING
