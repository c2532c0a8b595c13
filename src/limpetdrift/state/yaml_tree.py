"""Parses YAML text into a tree of nodes with their file and line.

PyYAML's safe loader only composes nodes and constructs no values. Scalars
thus stay text and never become dates, booleans or octal numbers. Anchors,
aliases, explicit tags, duplicate keys and more than one document are refused.
A merge key (``<<``) has no special meaning: it is a key like any other.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import yaml
from expression import Result

from limpetdrift.protocol.configuration import Complaint, Complaints

MAX_TEXT_CHARACTERS = 4_194_304
# Levels of nesting. They are checked before nodes are composed and converted,
# since both of these recurse.
MAX_DEPTH = 16
# The C parser returns the same nodes several times as fast.
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_NULL_TEXTS = frozenset(('null', '~'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """A position in a file; ``line`` counts from one."""

    file: str
    line: int

    def __str__(self) -> str:
        return f'{self.file}:{self.line}'


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalarNode:
    """A scalar as written; ``quoted`` is true for all but plain style."""

    mark: Mark
    text: str
    quoted: bool

    @property
    def is_null(self) -> bool:
        """Whether it is a plain null, which removes a key in an overlay."""
        return not self.quoted and self.text in _NULL_TEXTS


@dataclass(frozen=True, kw_only=True, slots=True)
class SequenceNode:
    """A sequence of nodes."""

    mark: Mark
    nodes: tuple['YamlNode', ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MappingNode:
    """A mapping; ``key_marks`` holds the position of each key."""

    mark: Mark
    nodes: dict[str, 'YamlNode']
    key_marks: dict[str, Mark]


YamlNode = ScalarNode | SequenceNode | MappingNode


def make_complaint(
    mark: Mark, key: str, expected: str, found: str = ''
) -> Complaint:
    """Return a complaint about the value at ``mark``."""
    return Complaint(
        file=mark.file,
        line=mark.line,
        key=key,
        expected=expected,
        found=found,
    )


def parse_tree(text: str, file_name: str) -> Result[MappingNode, Complaints]:
    """Parse a YAML document that is a mapping, or return all complaints."""
    if len(text) > MAX_TEXT_CHARACTERS:
        mark = Mark(file=file_name, line=1)
        return Result.Error(
            (
                make_complaint(
                    mark, '', f'at most {MAX_TEXT_CHARACTERS} characters'
                ),
            ),
        )
    try:
        complaints = tuple(_check_events(text, file_name))
    except yaml.YAMLError as error:
        return Result.Error((_syntax_complaint(error, file_name),))
    if complaints:
        return Result.Error(complaints)
    return _compose(text, file_name)


def _compose(text: str, file_name: str) -> Result[MappingNode, Complaints]:
    try:
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        return Result.Error((_syntax_complaint(error, file_name),))
    if not isinstance(node, yaml.MappingNode):
        mark = Mark(file=file_name, line=1)
        return Result.Error((make_complaint(mark, '', 'a mapping of keys'),))
    builder = _TreeBuilder(file_name=file_name)
    tree = builder.build(node, '')
    if builder.complaints:
        return Result.Error(tuple(builder.complaints))
    return Result.Ok(tree)


def _check_events(text: str, file_name: str) -> Iterator[Complaint]:
    depth = 0
    for event in yaml.parse(text, Loader=_LOADER):
        mark = Mark(file=file_name, line=event.start_mark.line + 1)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            yield make_complaint(mark, '', f'at most {MAX_DEPTH} levels')
            return
        if getattr(event, 'anchor', None) is not None:
            yield make_complaint(mark, '', 'no anchor or alias', event.anchor)
        if getattr(event, 'tag', None) is not None:
            yield make_complaint(mark, '', 'no explicit tag', event.tag)


def _syntax_complaint(error: yaml.YAMLError, file_name: str) -> Complaint:
    problem_mark = getattr(error, 'problem_mark', None)
    line = problem_mark.line + 1 if problem_mark else 1
    problem = getattr(error, 'problem', '') or str(error)
    mark = Mark(file=file_name, line=line)
    return make_complaint(mark, '', 'one YAML document', problem)


class _TreeBuilder:
    """Converts PyYAML's nodes to this module's and collects complaints."""

    def __init__(self, *, file_name: str) -> None:
        self.complaints: list[Complaint] = []
        self._file_name = file_name

    def build(self, node: yaml.Node, key: str) -> YamlNode:
        """Return the tree below a node whose key path is ``key``."""
        mark = self._mark(node)
        if isinstance(node, yaml.ScalarNode):
            quoted = bool(node.style)
            return ScalarNode(mark=mark, text=node.value, quoted=quoted)
        if isinstance(node, yaml.SequenceNode):
            nodes = tuple(
                self.build(each, f'{key}[{index}]')
                for index, each in enumerate(node.value)
            )
            return SequenceNode(mark=mark, nodes=nodes)
        return self._build_mapping(node, key)

    def _build_mapping(self, node: yaml.MappingNode, key: str) -> MappingNode:
        mapping = MappingNode(mark=self._mark(node), nodes={}, key_marks={})
        for name_node, content in node.value:
            self._add_pair(mapping, name_node, content, key)
        return mapping

    def _add_pair(
        self,
        mapping: MappingNode,
        name_node: yaml.Node,
        content: yaml.Node,
        key: str,
    ) -> None:
        mark = self._mark(name_node)
        if not isinstance(name_node, yaml.ScalarNode):
            self.complaints.append(make_complaint(mark, key, 'a plain key'))
            return
        name = name_node.value
        path = join_key(key, name)
        if name in mapping.nodes:
            first_line = mapping.key_marks[name].line
            self.complaints.append(
                make_complaint(
                    mark, path, 'each key once', f'again, as in {first_line}'
                ),
            )
            return
        mapping.key_marks[name] = mark
        mapping.nodes[name] = self.build(content, path)

    def _mark(self, node: yaml.Node) -> Mark:
        return Mark(file=self._file_name, line=node.start_mark.line + 1)


def join_key(prefix: str, name: str) -> str:
    """Return the key path of ``name`` below ``prefix``."""
    return f'{prefix}.{name}' if prefix else name
