"""Merges an overlay's YAML tree into the base's; lists the values' sources."""

from collections.abc import Iterator

from expression import Result

from limpetdrift.protocol.configuration import Complaints, SourcedValue
from limpetdrift.state.yaml_tree import (
    MappingNode,
    ScalarNode,
    SequenceNode,
    YamlNode,
    join_key,
    make_complaint,
)


def merge_trees(
    base: MappingNode, overlay: MappingNode
) -> Result[MappingNode, Complaints]:
    """Return the base with the overlay's changes.

    A ``null`` for a key that the base doesn't have is a complaint.
    """
    merger = _Merger()
    merged = merger.merge(base, overlay, '')
    if merger.complaints:
        return Result.Error(tuple(merger.complaints))
    return Result.Ok(merged)


def sourced_values(
    merged: MappingNode,
    overlay_file: str,
) -> Iterator[SourcedValue]:
    """Yield each scalar and list of a merged tree with its file and line."""
    for node, key in _leaves(merged, ''):
        from_overlay = node.mark.file == overlay_file
        yield SourcedValue(
            key=key,
            value=_text_of(node),
            file=node.mark.file,
            line=node.mark.line,
            layer='overlay' if from_overlay else 'base',
        )


class _Merger:
    """Merges trees; collects complaints about removals of missing keys."""

    def __init__(self) -> None:
        self.complaints = []

    def merge(
        self, base: MappingNode, overlay: MappingNode, key: str
    ) -> MappingNode:
        """Return the base with the overlay's changes.

        ``key`` is the path of both mappings.
        """
        nodes = dict(base.nodes)
        marks = base.key_marks | overlay.key_marks
        for name, node in overlay.nodes.items():
            path = join_key(key, name)
            merged = self._merge_node(nodes.get(name), node, path)
            if merged is None:
                nodes.pop(name, None)
            else:
                nodes[name] = merged
        return MappingNode(mark=overlay.mark, nodes=nodes, key_marks=marks)

    def _merge_node(
        self, base: YamlNode | None, node: YamlNode, key: str
    ) -> YamlNode | None:
        if isinstance(node, ScalarNode) and node.is_null:
            if base is None:
                self._add_complaint(node, key)
            return None
        if not isinstance(node, MappingNode):
            return node
        if isinstance(base, MappingNode):
            return self.merge(base, node, key)
        empty = MappingNode(mark=node.mark, nodes={}, key_marks={})
        return self.merge(empty, node, key)

    def _add_complaint(self, node: ScalarNode, key: str) -> None:
        expected = 'a key that the base has, to remove it'
        self.complaints.append(make_complaint(node.mark, key, expected, 'null'))


def _leaves(node: YamlNode, key: str) -> Iterator[tuple[YamlNode, str]]:
    if not isinstance(node, MappingNode):
        yield node, key
        return
    for name, child in node.nodes.items():
        yield from _leaves(child, join_key(key, name))


def _text_of(node: YamlNode) -> str:
    if isinstance(node, SequenceNode):
        items = ', '.join(_text_of(child) for child in node.nodes)
        return f'[{items}]'
    if isinstance(node, MappingNode):
        return '{...}'
    return node.text
