"""Checks that the names used in a site's configuration are defined in it."""

from collections.abc import Iterator
from dataclasses import Field, fields, is_dataclass
from typing import Any

from limpetdrift.protocol.configuration import Complaint
from limpetdrift.state.options import key_of, option_of
from limpetdrift.state.site import SiteConfig
from limpetdrift.state.yaml_tree import (
    MappingNode,
    Mark,
    SequenceNode,
    YamlNode,
    join_key,
    make_complaint,
)


def check_references(
    tree: MappingNode, config: SiteConfig
) -> Iterator[Complaint]:
    """Yield a complaint for each name that isn't a key of its mapping.

    The ``reference`` of the field's option names the mapping.
    """
    yield from _check_section(tree, config, '', config)


def _check_section(
    parent: MappingNode,
    section: Any,
    key: str,
    config: SiteConfig,
) -> Iterator[Complaint]:
    for declared in fields(section):
        name = key_of(declared)
        node = parent.nodes.get(name, parent)
        path = join_key(key, name)
        content = getattr(section, declared.name)
        if option_of(declared).reference:
            yield from _check_names(node, content, path, declared, config)
        elif isinstance(content, dict) and isinstance(node, MappingNode):
            yield from _check_map(node, content, path, config)


def _check_map(
    parent: MappingNode,
    sections: dict[str, Any],
    key: str,
    config: SiteConfig,
) -> Iterator[Complaint]:
    for name, section in sections.items():
        if is_dataclass(section):
            path = join_key(key, name)
            yield from _check_section(parent.nodes[name], section, path, config)


def _check_names(
    node: YamlNode,
    content: str | tuple[str, ...],
    key: str,
    declared: Field,
    config: SiteConfig,
) -> Iterator[Complaint]:
    reference = option_of(declared).reference
    defined = getattr(config, reference)
    names = (content,) if isinstance(content, str) else content
    listed = ', '.join(defined) or 'none is defined'
    for index, name in enumerate(names):
        if name not in defined:
            expected = f'a name from {reference} ({listed})'
            yield make_complaint(_name_mark(node, index), key, expected, name)


def _name_mark(node: YamlNode, index: int) -> Mark:
    return (
        node.nodes[index].mark if isinstance(node, SequenceNode) else node.mark
    )
