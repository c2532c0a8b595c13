"""Merges an overlay's tree into the base's, and says what came from where."""

from collections.abc import Iterator

from expression import Result

from limpetdrift.protocol.configuration import Complaints, SourcedValue
from limpetdrift.state.yaml_tree import (
    Branch,
    Listing,
    Scalar,
    Tree,
    complain,
    join_key,
)


def merge_trees(base: Branch, overlay: Branch) -> Result[Branch, Complaints]:
    """Return the base with the overlay's changes."""
    merger = _Merger()
    merged = merger.merge(base, overlay, '')
    if merger.complaints:
        return Result.Error(tuple(merger.complaints))
    return Result.Ok(merged)


def sourced_values(
    merged: Branch,
    overlay_file: str,
) -> Iterator[SourcedValue]:
    """Yield each single value and list of a merged tree with its place."""
    for node, key in _leaves(merged, ''):
        overlaid = node.mark.file == overlay_file
        yield SourcedValue(
            key=key,
            value=_text_of(node),
            file=node.mark.file,
            line=node.mark.line,
            layer='overlay' if overlaid else 'base',
        )


class _Merger:
    """Merges trees and gathers complaints about removals of nothing."""

    def __init__(self) -> None:
        self.complaints = []

    def merge(self, base: Branch, overlay: Branch, key: str) -> Branch:
        """Return the base with the overlay's changes."""
        nodes = dict(base.nodes)
        marks = base.key_marks | overlay.key_marks
        for name, node in overlay.nodes.items():
            path = join_key(key, name)
            merged = self._merge_node(nodes.get(name), node, path)
            if merged is None:
                nodes.pop(name, None)
            else:
                nodes[name] = merged
        return Branch(mark=overlay.mark, nodes=nodes, key_marks=marks)

    def _merge_node(
        self, base: Tree | None, node: Tree, key: str
    ) -> Tree | None:
        if isinstance(node, Scalar) and node.is_null:
            if base is None:
                self._complain(node, key)
            return None
        if not isinstance(node, Branch):
            return node
        if isinstance(base, Branch):
            return self.merge(base, node, key)
        empty = Branch(mark=node.mark, nodes={}, key_marks={})
        return self.merge(empty, node, key)

    def _complain(self, node: Scalar, key: str) -> None:
        expected = 'a key that the base has, to remove it'
        self.complaints.append(complain(node.mark, key, expected, 'null'))


def _leaves(tree: Tree, key: str) -> Iterator[tuple[Tree, str]]:
    if not isinstance(tree, Branch):
        yield tree, key
        return
    for name, node in tree.nodes.items():
        yield from _leaves(node, join_key(key, name))


def _text_of(tree: Tree) -> str:
    if isinstance(tree, Listing):
        items = ', '.join(_text_of(node) for node in tree.nodes)
        return f'[{items}]'
    if isinstance(tree, Branch):
        return '{...}'
    return tree.text
