"""``limpet-story``: merges the logs of several processes in order of time.

It prints the lines about one request, found by its id, or the lines that
contain a text, such as the name of an endpoint or peer, or a version.
"""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

_FOUND = 0
_NOT_FOUND = 1
_STANDARD_INPUT = '-'
# Fields that are not printed as ``name=content``: the time and the message
# open the line, and the others are left out.
_OMITTED_FIELDS = frozenset(('time', 'level', 'program', 'request', 'message'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One line of a log: its time, the log that it is from, and its fields.

    ``at`` is in seconds since the epoch.
    """

    at: float
    source: str
    fields: dict[str, object]

    def matches(self, request: str, text: str) -> bool:
        """Return whether the line is about a request or contains a text."""
        if request and request in {
            self.fields.get('id'),
            self.fields.get('request'),
        }:
            return True
        return bool(text) and text in msgspec.json.encode(self.fields).decode()


@cappa.command(
    name='limpet-story',
    help='Show the log lines about a request, or with a text, by time.',
)
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """Arguments of the command line."""

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
        cappa.Arg(long='--match', help='A text that the lines contain.'),
    ] = ''
    json: Annotated[
        bool,
        cappa.Arg(long='--json', help='Print the lines as JSON.'),
    ] = False


def main() -> None:
    """Print the matching lines; exit with status 1 if there are none."""
    sys.exit(print_lines(cappa.parse(Arguments)))


def print_lines(arguments: Arguments) -> int:
    """Print the matching lines of all files in order of time.

    Return the exit code: 0, or 1 if no line matches.
    """
    lines: list[Line] = []
    for name in arguments.files:
        lines.extend(_read_log(name))
    found = sorted(
        (
            line
            for line in lines
            if line.matches(arguments.request, arguments.match)
        ),
        key=lambda line: line.at,
    )
    for line in found:
        sys.stdout.write(_format(line, as_json=arguments.json))
    if found:
        return _FOUND
    searched = arguments.request or arguments.match
    sys.stderr.write(f'no match for {searched!r} in {len(lines)} lines\n')
    return _NOT_FOUND


def parse_lines(source: str, text: Iterable[str]) -> Iterator[Line]:
    """Yield the lines that hold a JSON object with a time.

    Text before the object is skipped.

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


def _read_log(name: str) -> Iterator[Line]:
    if name == _STANDARD_INPUT:
        yield from parse_lines('stdin', sys.stdin)
        return
    try:
        text = Path(name).read_text(errors='replace')
    except OSError as error:
        sys.stderr.write(f'{name}: {error.strerror}\n')
        return
    yield from parse_lines(Path(name).stem, text.splitlines())


def _format(line: Line, *, as_json: bool) -> str:
    if as_json:
        shown = line.fields | {'source': line.source}
        return msgspec.json.encode(shown).decode() + '\n'
    others = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in _OMITTED_FIELDS and content
    )
    message = line.fields.get('message', '')
    return f'{line.at:.3f} {line.source}: {message} {others}\n'
