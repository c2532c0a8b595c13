"""Defines the load file: engines, kinds of requests, bursts and faults.

>>> loaded = read_workload('experiments/replay-simu-kona.yaml')
>>> loaded.ok.engines.count
18
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from expression import Result

from limpetdrift.protocol.configuration import Complaint, Complaints
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.replays.policies import POLICIES
from limpetdrift.settings import load_settings
from limpetdrift.state.options import Unit, above_zero, at_least, option

_THOUSAND = 1000
_MILLION = 1_000_000


@unique
class FaultKind(StrEnum):
    """Faults of an engine.

    It crashes (``GONE``), stops working but keeps its connections
    (``SILENT``), works slower, or answers every request with an error.
    """

    GONE = 'gone'
    SILENT = 'silent'
    SLOW = 'slow'
    FAILING = 'failing'


@dataclass(frozen=True, kw_only=True, slots=True)
class Engines:
    """The engines of the one service, which are identical."""

    count: int = option(check=at_least(1), about='Number of engines.')
    slots: int = option(
        check=at_least(1), about='Concurrent requests of one engine.'
    )
    memory_tokens: int = option(
        key='memory',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Memory of one engine.',
    )
    step_seconds: float = option(
        key='step',
        unit=Unit.DURATION,
        check=above_zero,
        about='Duration of a decode step without streams.',
    )
    stream_seconds: float = option(
        key='stream_step',
        unit=Unit.DURATION,
        about='Time that each stream adds to a step.',
    )
    context_seconds: float = option(
        key='context_step',
        unit=Unit.DURATION,
        about='Time that 1,000 tokens of context add to a step.',
    )
    read_per_second: float = option(
        key='read',
        unit=Unit.RATE,
        check=above_zero,
        about='Prefill rate without the cost of token pairs.',
    )
    pairs_seconds: float = option(
        key='pairs',
        unit=Unit.DURATION,
        about='Time that a million pairs of tokens add to prefill.',
    )
    chunk_tokens: int = option(
        key='chunk',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Maximum prompt tokens that are prefilled in a step.',
    )
    stride: int = option(
        check=at_least(1),
        about='Decode steps of a pass, and tokens of an event.',
    )

    @property
    def cost_model(self) -> EngineCostModel:
        """The cost model of these engines."""
        return EngineCostModel(
            slots=self.slots,
            memory_tokens=self.memory_tokens,
            step_seconds=self.step_seconds,
            stream_seconds=self.stream_seconds,
            context_seconds=self.context_seconds / _THOUSAND,
            read_tokens_per_second=self.read_per_second,
            pair_seconds=self.pairs_seconds / _MILLION,
            chunk_tokens=self.chunk_tokens,
            stride=self.stride,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """One kind of request, and the time limits within which it is on time.

    ``worth`` weighs an answer in the figures: the sum over the answers is
    compared with that of a run in which all are on time.
    """

    rate: float = option(
        unit=Unit.RATE,
        check=above_zero,
        about='Requests a second.',
    )
    prompt_tokens: int = option(
        key='prompt',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Mean prompt length.',
    )
    most_tokens: int = option(
        key='most',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Maximum prompt length.',
    )
    spread: float = option(
        0.0,
        check=at_least(0),
        about='Standard deviation of the logarithm of prompt lengths.',
    )
    events: int = option(check=at_least(1), about='Mean events of an answer.')
    target_seconds: float = option(
        key='target',
        unit=Unit.DURATION,
        check=above_zero,
        about='Maximum time to the first event of an answer on time.',
    )
    pause_seconds: float = option(
        key='pause',
        unit=Unit.DURATION,
        check=above_zero,
        about='Maximum pause between events of an answer on time.',
    )
    patience_seconds: float = option(
        key='patience',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time without an event after which callers disconnect.',
    )
    deadline_seconds: float = option(
        key='deadline',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time for the whole answer.',
    )
    worth: float = option(1.0, about='Worth of an answer on time.')
    late_worth: float = option(0.0, about='Worth of a late one.')


@dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """A span of time, counted from the start of the run."""

    at_seconds: float = option(
        key='at',
        unit=Unit.DURATION,
        about='When it begins.',
    )
    for_seconds: float = option(
        key='for',
        unit=Unit.DURATION,
        about='How long it lasts.',
    )

    def covers(self, at: float) -> bool:
        """Return whether the span contains ``at``, in seconds of the run."""
        return self.at_seconds <= at < self.at_seconds + self.for_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Burst(Span):
    """A time in which requests of a kind, or of all, are more frequent."""

    times: float = option(
        check=at_least(0), about='Factor on the arrival rate.'
    )
    kind: str = option('', about='The kind of requests; all kinds if left out.')


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault(Span):
    """A fault of some engines for a limited time."""

    kind: FaultKind = option(about='The fault.')
    share: float = option(
        check=above_zero, about='Share of the engines that have the fault.'
    )
    times: float = option(1.0, about='Slowdown factor, for slow engines.')


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryBehavior:
    """How callers retry requests that were refused as not run."""

    times: int = option(
        1, check=at_least(0), about='Maximum retries of one request.'
    )
    at_once_share: float = option(
        0.0,
        key='at_once',
        about='Share that retries immediately, whatever retry-after says.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One load to simulate: the usual one with the changes given here."""

    scale: float = option(
        1.0,
        check=above_zero,
        about='Factor on the usual arrival rates.',
    )
    accounts: dict[str, float] = option(
        default_factory=dict,
        about='Client accounts and their shares, if not the usual ones.',
    )
    bursts: tuple[Burst, ...] = option(
        (), about='Times of higher arrival rates.'
    )
    faults: tuple[Fault, ...] = option((), about='Faults of engines.')
    outages: tuple[Span, ...] = option(
        (), about='Times without entries; then all start again, empty.'
    )
    returns: RetryBehavior = field(default_factory=RetryBehavior)


@dataclass(frozen=True, kw_only=True, slots=True)
class Workload:
    """A load file: the usual load of a site, its cases, and the policies."""

    name: str = option(about='Name of the load.')
    duration_seconds: float = option(
        key='duration',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time during which requests arrive.',
    )
    entries: int = option(check=at_least(1), about='Number of entries.')
    peer_seconds: float = option(
        key='peer_delay',
        unit=Unit.DURATION,
        about='One-way message delay between two entries.',
    )
    peer_work_seconds: float = option(
        0.0,
        key='peer_work',
        unit=Unit.DURATION,
        about='Time in which an entry processes one message of a peer.',
    )
    failure_domains: int = option(
        3,
        check=at_least(1),
        about='Number of failure domains of entries and engines.',
    )
    engines: Engines = option(about='The engines.')
    kinds: dict[str, Kind] = option(about='The kinds of requests.')
    accounts: dict[str, float] = option(
        about='Client accounts and their shares of the requests.'
    )
    cases: dict[str, Case] = option(about='The loads to simulate.')
    seeds: tuple[int, ...] = option(
        about='Seeds; each case and policy runs once with each.'
    )
    policies: tuple[str, ...] = option(
        about='Placement policies to compare, run alternately.'
    )


def read_workload(path: str) -> Result[Workload, Complaints]:
    """Read and validate a load file.

    Each complaint names the file, the line and the key.
    """
    return load_settings(path, Workload).bind(
        lambda workload: _check_workload(workload, path)
    )


def _check_workload(
    workload: Workload, path: str
) -> Result[Workload, Complaints]:
    complaints = [
        _complain(path, key, 'at least one', 'none')
        for key in ('kinds', 'accounts', 'cases', 'seeds', 'policies')
        if not getattr(workload, key)
    ]
    complaints += [
        _complain(path, 'bursts.kind', 'a kind of this file', burst.kind)
        for case in workload.cases.values()
        for burst in case.bursts
        if burst.kind and burst.kind not in workload.kinds
    ]
    names = ', '.join(POLICIES)
    complaints += [
        _complain(path, 'policies', f'one of {names}', policy)
        for policy in workload.policies
        if policy not in POLICIES
    ]
    if complaints:
        return Result.Error(tuple(complaints))
    return Result.Ok(workload)


def _complain(path: str, key: str, expected: str, found: str) -> Complaint:
    return Complaint(file=path, line=1, key=key, expected=expected, found=found)
