"""Loads YAML into frozen data classes and reports all errors at once.

The type of a field and its ``option`` define the values that it may have:

>>> loaded = load_document('port: 8100', 'entry.yaml', Settings)
>>> loaded.ok.port
8100

The type of a value is never inferred from its text: an unquoted ``no``,
``010`` or ``2026-12-03`` is text where a text is expected, and refused where
a boolean or a number is expected.
"""

import types
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from expression import Result

from limpetdrift.protocol.configuration import Complaint, Complaints
from limpetdrift.state.options import key_of, option_of
from limpetdrift.state.yaml_scalars import (
    InvalidScalarError,
    ValueSpec,
    describe,
    parse_scalar,
)
from limpetdrift.state.yaml_tree import (
    MappingNode,
    Mark,
    ScalarNode,
    SequenceNode,
    YamlNode,
    parse_tree,
)
from limpetdrift.transport.messages import Address

Document = TypeVar('Document')

_UNION_ORIGINS = frozenset((Union, types.UnionType))


def load_document(
    text: str,
    file_name: str,
    kind: type[Document],
) -> Result[Document, Complaints]:
    """Load YAML text into the data class ``kind``.

    ``file_name`` appears in the complaints.
    """
    return parse_tree(text, file_name).bind(lambda tree: read_tree(tree, kind))


def read_tree(
    tree: MappingNode, kind: type[Document]
) -> Result[Document, Complaints]:
    """Load a parsed or merged tree into the data class ``kind``."""
    loader = _TypedLoader()
    document = loader.read(tree, ValueSpec(kind=kind, key=''))
    if loader.complaints:
        return Result.Error(tuple(loader.complaints))
    return Result.Ok(document)


class _TypedLoader:
    """Converts nodes to the types of their fields and collects complaints."""

    def __init__(self) -> None:
        self.complaints: list[Complaint] = []

    def read(self, tree: YamlNode, spec: ValueSpec) -> Any:
        """Return the node's value, or add a complaint.

        After a complaint the value must not be used: it may be ``None``, have
        ``None`` in place of a refused part, or have failed its check.
        """
        origin = get_origin(spec.kind)
        if origin in _UNION_ORIGINS:
            return self._read_optional(tree, spec)
        if is_dataclass(spec.kind) and spec.kind is not Address:
            return self._read_data_class(tree, spec)
        if origin is tuple:
            return self._read_tuple(tree, spec)
        if origin is dict:
            return self._read_map(tree, spec)
        return self._read_scalar(tree, spec)

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

    def _read_optional(self, tree: YamlNode, spec: ValueSpec) -> Any:
        if isinstance(tree, ScalarNode) and tree.is_null:
            return None
        value_kinds = [
            kind for kind in get_args(spec.kind) if kind is not types.NoneType
        ]
        return self.read(tree, spec.for_part(value_kinds[0], spec.key))

    def _read_tuple(self, tree: YamlNode, spec: ValueSpec) -> Any:
        if not isinstance(tree, SequenceNode):
            self._refuse(tree.mark, spec.key, 'a list', describe(tree))
            return None
        item_kind = get_args(spec.kind)[0]
        return tuple(
            self.read(node, spec.for_part(item_kind, f'{spec.key}[{index}]'))
            for index, node in enumerate(tree.nodes)
        )

    def _read_map(self, tree: YamlNode, spec: ValueSpec) -> Any:
        if not isinstance(tree, MappingNode):
            self._refuse(tree.mark, spec.key, 'a mapping', describe(tree))
            return None
        item_kind = get_args(spec.kind)[1]
        return {
            name: self.read(
                node,
                spec.for_part(item_kind, spec.child_key(name)),
            )
            for name, node in tree.nodes.items()
        }

    def _read_data_class(self, tree: YamlNode, spec: ValueSpec) -> Any:
        if not isinstance(tree, MappingNode):
            self._refuse(tree.mark, spec.key, 'a mapping', describe(tree))
            return None
        declared = {key_of(each): each for each in fields(spec.kind)}
        self._refuse_unknown(tree, spec, declared)
        complaints_before = len(self.complaints)
        hints = get_type_hints(spec.kind)
        self._refuse_missing(tree, spec, declared)
        arguments = {
            declared[key].name: self.read(
                node,
                _field_spec(declared[key], hints, spec),
            )
            for key, node in tree.nodes.items()
            if key in declared
        }
        if len(self.complaints) > complaints_before:
            return None
        return spec.kind(**arguments)

    def _refuse_missing(
        self,
        tree: MappingNode,
        spec: ValueSpec,
        declared: dict[str, Field],
    ) -> None:
        for name, field in declared.items():
            if _is_required(field) and name not in tree.nodes:
                path = spec.child_key(name)
                self._refuse(tree.mark, path, 'a value', 'nothing')

    def _refuse_unknown(
        self,
        tree: MappingNode,
        spec: ValueSpec,
        declared: dict[str, Field],
    ) -> None:
        names = ', '.join(declared)
        expected = f'one of {names}'
        for name in tree.nodes:
            if name not in declared:
                path = spec.child_key(name)
                self._refuse(
                    tree.key_marks[name],
                    path,
                    expected,
                    'an unknown key',
                )

    def _read_scalar(self, tree: YamlNode, spec: ValueSpec) -> Any:
        try:
            parsed = parse_scalar(tree, spec)
        except InvalidScalarError as error:
            self._refuse(tree.mark, spec.key, str(error), describe(tree))
            return None
        expected = spec.check(parsed) if spec.check else ''
        if expected:
            self._refuse(tree.mark, spec.key, expected, describe(tree))
        return parsed


def _field_spec(
    field: Field, hints: dict[str, Any], parent: ValueSpec
) -> ValueSpec:
    declared_option = option_of(field)
    return ValueSpec(
        kind=hints[field.name],
        key=parent.child_key(key_of(field)),
        unit=declared_option.unit,
        check=declared_option.check,
    )


def _is_required(field: Field) -> bool:
    return field.default is MISSING and field.default_factory is MISSING
