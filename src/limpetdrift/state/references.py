"""Checks that names used in a site's configuration are defined in it."""

from collections.abc import Iterator
from dataclasses import Field, fields, is_dataclass
from typing import Any

from limpetdrift.protocol.configuration import Complaint
from limpetdrift.state.options import key_of, option_of
from limpetdrift.state.site import SiteConfig
from limpetdrift.state.yaml_tree import (
    Branch,
    Listing,
    Mark,
    Tree,
    complain,
    join_key,
)


def check_references(tree: Branch, config: SiteConfig) -> Iterator[Complaint]:
    """Yield a complaint for each name that its map does not hold."""
    yield from _check_part(tree, config, '', config)


def _check_part(
    tree: Branch,
    part: Any,
    key: str,
    config: SiteConfig,
) -> Iterator[Complaint]:
    for declared in fields(part):
        name = key_of(declared)
        node = tree.nodes.get(name, tree)
        path = join_key(key, name)
        content = getattr(part, declared.name)
        if option_of(declared).reference:
            yield from _check_names(node, content, path, declared, config)
        elif isinstance(content, dict) and isinstance(node, Branch):
            yield from _check_map(node, content, path, config)


def _check_map(
    tree: Branch,
    parts: dict[str, Any],
    key: str,
    config: SiteConfig,
) -> Iterator[Complaint]:
    for name, part in parts.items():
        if is_dataclass(part):
            path = join_key(key, name)
            yield from _check_part(tree.nodes[name], part, path, config)


def _check_names(
    node: Tree,
    content: str | tuple[str, ...],
    key: str,
    declared: Field,
    config: SiteConfig,
) -> Iterator[Complaint]:
    reference = option_of(declared).reference
    known = getattr(config, reference)
    names = (content,) if isinstance(content, str) else content
    listed = ', '.join(known) or 'none is defined'
    for index, name in enumerate(names):
        if name not in known:
            expected = f'a name from {reference} ({listed})'
            yield complain(_mark_of(node, index), key, expected, name)


def _mark_of(node: Tree, index: int) -> Mark:
    return node.nodes[index].mark if isinstance(node, Listing) else node.mark
