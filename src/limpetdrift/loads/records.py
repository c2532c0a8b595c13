"""Stores the results of requests and the samples of runs as JSON lines."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from limpetdrift.loads.experiment import RunSpec
from limpetdrift.loads.grouping import group_by
from limpetdrift.protocol.codec import encode_line


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One request and its result. Times are in seconds.

    ``at`` counts from the start of the run; ``first_token`` and ``ended``
    count from the sending of the request. ``verdict`` and ``reason`` are those
    of a failure. An answer is ``whole`` if it is the expected one. ``tokens``
    is the length of the prompt.
    """

    case: RunSpec
    number: int
    account: str
    tokens: int
    long: bool
    at: float
    ended: float
    first_token: float | None = None
    verdict: str = ''
    reason: str = ''
    whole: bool = False
    cached_tokens: int = 0
    sends: int = 0
    resumptions: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """The state of the site ``at`` seconds after the start of the run.

    Counts are sums over the engines, except for ``in_flight``, the requests
    that callers have open. ``idle_share`` is that of the processors.
    """

    case: RunSpec
    at: float
    in_flight: int
    running: int
    waiting: int
    queued_tokens: int
    held_tokens: int
    memory_tokens: int
    idle_share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRecord:
    """The records and samples of one run."""

    case: RunSpec
    requests: tuple[Record, ...]
    samples: tuple[Sample, ...]


def append_run(path: Path, run: RunRecord) -> None:
    """Append a line for each request, and for each sample in its own file."""
    with path.open('ab') as out:
        out.writelines(encode_line(each) for each in run.requests)
    with _samples_path(path).open('ab') as samples:
        samples.writelines(encode_line(each) for each in run.samples)


def read_runs(path: Path) -> tuple[RunRecord, ...]:
    """Read runs from a file of records and the file of their samples."""
    requests = group_by(_read(path, Record), lambda each: each.case)
    samples = group_by(
        _read(_samples_path(path), Sample),
        lambda each: each.case,
    )
    return tuple(
        RunRecord(
            case=case,
            requests=tuple(records),
            samples=tuple(samples.get(case, ())),
        )
        for case, records in requests.items()
    )


def _samples_path(path: Path) -> Path:
    return path.with_suffix('.samples.jsonl')


def _read(path: Path, kind: type) -> Iterator:
    lines: Iterable[bytes] = ()
    if path.exists():
        lines = path.read_bytes().splitlines()
    return (msgspec.json.decode(line, type=kind) for line in lines)
