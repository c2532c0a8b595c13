"""What is kept of each request and each sample, as JSON lines."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from limpetdrift.loads.experiment import RunSpec
from limpetdrift.loads.gathering import gather
from limpetdrift.protocol.codec import encode_line


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One request and what its caller got. Times are in seconds.

    ``at`` counts from the start of the run, ``first_token`` and ``ended``
    from when the request was sent. ``verdict`` and ``reason`` are those of a
    failure; ``whole`` says whether the answer was the expected one.
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
    """The site's state at one time; ``idle_share`` is the processors'."""

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
    """All that one case left."""

    case: RunSpec
    requests: tuple[Record, ...]
    samples: tuple[Sample, ...]


def append_run(path: Path, run: RunRecord) -> None:
    """Write a run as one line for each request, and one of its samples."""
    with path.open('ab') as out:
        out.writelines(encode_line(each) for each in run.requests)
    with _samples_path(path).open('ab') as samples:
        samples.writelines(encode_line(each) for each in run.samples)


def read_runs(path: Path) -> tuple[RunRecord, ...]:
    """Read the runs of a file of records and of its samples."""
    requests = gather(_read(path, Record), lambda each: each.case)
    samples = gather(
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
