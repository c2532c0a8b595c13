"""YAML text as a tree of plain nodes that know their file and line.

PyYAML's safe loader composes the nodes and constructs no value, so nothing in
a text turns into a date, a boolean or an octal number by its looks. Anchors,
aliases, explicit tags, merge keys, duplicate keys and more than one document
are refused.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import yaml
from expression import Result

from limpetdrift.protocol.configuration import Complaint, Complaints

MAX_TEXT_CHARACTERS = 4_194_304
MAX_DEPTH = 16
# The C parser gives the same nodes several times as fast.
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_NULLS = frozenset(('null', '~'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """A place in a file; lines count from one."""

    file: str
    line: int

    def __str__(self) -> str:
        return f'{self.file}:{self.line}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Scalar:
    """A single value, as written; ``quoted`` text is always text."""

    mark: Mark
    text: str
    quoted: bool

    @property
    def is_null(self) -> bool:
        """Whether it says that a value shall be removed."""
        return not self.quoted and self.text in _NULLS


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """A sequence of nodes."""

    mark: Mark
    nodes: tuple['Tree', ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Branch:
    """A mapping; ``key_marks`` holds where each key stands."""

    mark: Mark
    nodes: dict[str, 'Tree']
    key_marks: dict[str, Mark]


Tree = Scalar | Listing | Branch


def complain(mark: Mark, key: str, expected: str, found: str = '') -> Complaint:
    """Build a complaint about the place of ``mark``."""
    return Complaint(
        file=mark.file,
        line=mark.line,
        key=key,
        expected=expected,
        found=found,
    )


def parse_tree(text: str, file_name: str) -> Result[Branch, Complaints]:
    """Read a document whose top is a mapping; report all complaints."""
    if len(text) > MAX_TEXT_CHARACTERS:
        place = Mark(file=file_name, line=1)
        return Result.Error(
            (complain(place, '', f'at most {MAX_TEXT_CHARACTERS} characters'),),
        )
    try:
        complaints = tuple(_check_events(text, file_name))
    except yaml.YAMLError as error:
        return Result.Error((_syntax_complaint(error, file_name),))
    if complaints:
        return Result.Error(complaints)
    return _compose(text, file_name)


def _compose(text: str, file_name: str) -> Result[Branch, Complaints]:
    try:
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        return Result.Error((_syntax_complaint(error, file_name),))
    if not isinstance(node, yaml.MappingNode):
        place = Mark(file=file_name, line=1)
        return Result.Error((complain(place, '', 'a mapping of keys'),))
    reader = _Reader(file_name=file_name)
    tree = reader.read(node, '')
    if reader.complaints:
        return Result.Error(tuple(reader.complaints))
    return Result.Ok(tree)


def _check_events(text: str, file_name: str) -> Iterator[Complaint]:
    depth = 0
    for event in yaml.parse(text, Loader=_LOADER):
        place = Mark(file=file_name, line=event.start_mark.line + 1)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            yield complain(place, '', f'at most {MAX_DEPTH} levels')
            return
        if getattr(event, 'anchor', None) is not None:
            yield complain(place, '', 'no anchor or alias', event.anchor)
        if getattr(event, 'tag', None) is not None:
            yield complain(place, '', 'no explicit tag', event.tag)


def _syntax_complaint(error: yaml.YAMLError, file_name: str) -> Complaint:
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 1
    problem = getattr(error, 'problem', '') or str(error)
    place = Mark(file=file_name, line=line)
    return complain(place, '', 'one YAML document', problem)


class _Reader:
    """Turns composed nodes into trees and gathers complaints."""

    def __init__(self, *, file_name: str) -> None:
        self.complaints: list[Complaint] = []
        self._file_name = file_name

    def read(self, node: yaml.Node, key: str) -> Tree:
        """Return the tree of a node whose key path is ``key``."""
        mark = self._mark(node)
        if isinstance(node, yaml.ScalarNode):
            quoted = bool(node.style)
            return Scalar(mark=mark, text=node.value, quoted=quoted)
        if isinstance(node, yaml.SequenceNode):
            nodes = tuple(
                self.read(each, f'{key}[{index}]')
                for index, each in enumerate(node.value)
            )
            return Listing(mark=mark, nodes=nodes)
        return self._read_branch(node, key)

    def _read_branch(self, node: yaml.MappingNode, key: str) -> Branch:
        branch = Branch(mark=self._mark(node), nodes={}, key_marks={})
        for name_node, content in node.value:
            self._read_pair(branch, name_node, content, key)
        return branch

    def _read_pair(
        self,
        branch: Branch,
        name_node: yaml.Node,
        content: yaml.Node,
        key: str,
    ) -> None:
        mark = self._mark(name_node)
        if not isinstance(name_node, yaml.ScalarNode):
            self.complaints.append(complain(mark, key, 'a plain key'))
            return
        name = name_node.value
        path = join_key(key, name)
        if name in branch.nodes:
            first = branch.key_marks[name].line
            self.complaints.append(
                complain(mark, path, 'each key once', f'again, as in {first}'),
            )
            return
        branch.key_marks[name] = mark
        branch.nodes[name] = self.read(content, path)

    def _mark(self, node: yaml.Node) -> Mark:
        return Mark(file=self._file_name, line=node.start_mark.line + 1)


def join_key(prefix: str, name: str) -> str:
    """Return the key path of ``name`` below ``prefix``."""
    return f'{prefix}.{name}' if prefix else name
