"""``limpet-story``: lines of several processes' logs in order of time.

It tells the story of one request by its id, or of a belief by any text that
stands in its lines: an endpoint, a peer, a version.
"""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

_FOUND = 0
_NOTHING = 1
_STANDARD_INPUT = '-'
# Shown first or by their own, so not among a line's other fields.
_SHOWN = frozenset(('time', 'level', 'program', 'request', 'message'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One line of a log: when, from which source, and its fields."""

    at: float
    source: str
    fields: dict[str, object]

    def is_of(self, request: str, text: str) -> bool:
        """Return whether the line tells of a request or holds a text."""
        if request and request in {
            self.fields.get('id'),
            self.fields.get('request'),
        }:
            return True
        return bool(text) and text in msgspec.json.encode(self.fields).decode()


@cappa.command(
    name='limpet-story',
    help='Tell from logs what became of a request or a belief.',
)
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """The command line."""

    files: Annotated[
        list[str],
        cappa.Arg(help='Log files; - is standard input.'),
    ]
    request: Annotated[
        str,
        cappa.Arg(long='--request', help='The id of a request.'),
    ] = ''
    match: Annotated[
        str,
        cappa.Arg(long='--match', help='A text that stands in the lines.'),
    ] = ''
    json: Annotated[
        bool,
        cappa.Arg(long='--json', help='Print the lines as JSON.'),
    ] = False


def main() -> None:
    """Print the story; exit with 1 where nothing is found."""
    sys.exit(tell(cappa.parse(Arguments)))


def tell(arguments: Arguments) -> int:
    """Print the matching lines of all files in order of time."""
    lines: list[Line] = []
    for name in arguments.files:
        lines.extend(_read(name))
    found = sorted(
        (
            line
            for line in lines
            if line.is_of(arguments.request, arguments.match)
        ),
        key=lambda line: line.at,
    )
    for line in found:
        sys.stdout.write(_show(line, as_json=arguments.json))
    if found:
        return _FOUND
    wanted = arguments.request or arguments.match
    sys.stderr.write(f'no line of {wanted!r} in {len(lines)} lines\n')
    return _NOTHING


def parse_lines(source: str, text: Iterable[str]) -> Iterator[Line]:
    """Yield the lines that are JSON objects with a time.

    >>> next(parse_lines('a', ['{"time": 1.5, "message": "x"}'])).at
    1.5
    """
    for line in text:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:], type=dict)
        except msgspec.DecodeError:
            continue
        at = fields.get('time')
        if isinstance(at, int | float):
            yield Line(at=at, source=source, fields=fields)


def _read(name: str) -> Iterator[Line]:
    if name == _STANDARD_INPUT:
        yield from parse_lines('stdin', sys.stdin)
        return
    try:
        text = Path(name).read_text(errors='replace')
    except OSError as error:
        sys.stderr.write(f'{name}: {error.strerror}\n')
        return
    yield from parse_lines(Path(name).stem, text.splitlines())


def _show(line: Line, *, as_json: bool) -> str:
    if as_json:
        shown = line.fields | {'source': line.source}
        return msgspec.json.encode(shown).decode() + '\n'
    told = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in _SHOWN and content
    )
    message = line.fields.get('message', '')
    return f'{line.at:.3f} {line.source}: {message} {told}\n'
