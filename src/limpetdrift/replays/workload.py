"""What a load file says: engines, kinds of requests, bursts, faults.

>>> loaded = read_load('experiments/replay-simu-kona.yaml')
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
    """What can befall an engine."""

    GONE = 'gone'
    SILENT = 'silent'
    SLOW = 'slow'
    FAILING = 'failing'


@dataclass(frozen=True, kw_only=True, slots=True)
class Engines:
    """The engines of the one service, all alike."""

    count: int = option(check=at_least(1), about='How many there are.')
    slots: int = option(check=at_least(1), about='Requests at once.')
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
        about='Time of one step without streams.',
    )
    stream_seconds: float = option(
        key='stream_step',
        unit=Unit.DURATION,
        about='What each stream adds to a step.',
    )
    context_seconds: float = option(
        key='context_step',
        unit=Unit.DURATION,
        about='What 1,000 tokens of context add to a step.',
    )
    read_per_second: float = option(
        key='read',
        unit=Unit.RATE,
        check=above_zero,
        about='Prompt tokens that are read a second.',
    )
    pairs_seconds: float = option(
        key='pairs',
        unit=Unit.DURATION,
        about='What a million pairs of tokens add to reading.',
    )
    chunk_tokens: int = option(
        key='chunk',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Prompt tokens read in a step at most.',
    )
    stride: int = option(
        check=at_least(1),
        about='Steps of a pass, and tokens of an event.',
    )

    @property
    def law(self) -> EngineCostModel:
        """The law by which these engines run."""
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
    """One kind of request, and when its answer is on time."""

    rate: float = option(
        unit=Unit.RATE,
        check=above_zero,
        about='Requests a second.',
    )
    prompt_tokens: int = option(
        key='prompt',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Mean prompt.',
    )
    most_tokens: int = option(
        key='most',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Longest prompt.',
    )
    spread: float = option(
        0.0,
        check=at_least(0),
        about='Standard deviation of the logarithm of prompt lengths.',
    )
    events: int = option(check=at_least(1), about='Events of an answer.')
    target_seconds: float = option(
        key='target',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time to the first event that is on time.',
    )
    pause_seconds: float = option(
        key='pause',
        unit=Unit.DURATION,
        check=above_zero,
        about='Longest pause between events that is on time.',
    )
    patience_seconds: float = option(
        key='patience',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time without an event after which callers leave.',
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
    """A time in which something is other than usual."""

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
        """Return whether a time from the start of the load is in it."""
        return self.at_seconds <= at < self.at_seconds + self.for_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Burst(Span):
    """A time in which a kind, or every kind, comes more often."""

    times: float = option(check=at_least(0), about='How many times the rate.')
    kind: str = option('', about='The kind; all where it is left out.')


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault(Span):
    """Engines that fail for a time."""

    kind: FaultKind = option(about='What befalls the engines.')
    share: float = option(check=above_zero, about='Share of the engines.')
    times: float = option(1.0, about='How many times as slow.')


@dataclass(frozen=True, kw_only=True, slots=True)
class Returns:
    """What callers do who are refused as not run."""

    times: int = option(1, check=at_least(0), about='How often they return.')
    at_once_share: float = option(
        0.0,
        key='at_once',
        about='Share that returns at once, whatever the answer says.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One load: the usual one with what is told here."""

    scale: float = option(
        1.0,
        check=above_zero,
        about='How many times the usual rates.',
    )
    accounts: dict[str, float] = option(
        default_factory=dict,
        about='Accounts and their shares, where they differ from the usual.',
    )
    bursts: tuple[Burst, ...] = option((), about='When more comes.')
    faults: tuple[Fault, ...] = option((), about='What fails.')
    returns: Returns = field(default_factory=Returns)


@dataclass(frozen=True, kw_only=True, slots=True)
class Workload:
    """The usual load of a site, its cases, and what is compared."""

    name: str = option(about='What the load is called.')
    duration_seconds: float = option(
        key='duration',
        unit=Unit.DURATION,
        check=above_zero,
        about='How long requests arrive.',
    )
    entries: int = option(check=at_least(1), about='How many entries.')
    peer_seconds: float = option(
        key='peer_delay',
        unit=Unit.DURATION,
        about='One way between two entries.',
    )
    engines: Engines = option(about='The engines.')
    kinds: dict[str, Kind] = option(about='The kinds of requests.')
    accounts: dict[str, float] = option(about='Accounts and their shares.')
    cases: dict[str, Case] = option(about='The loads to play.')
    seeds: tuple[int, ...] = option(about='One run a seed and policy.')
    policies: tuple[str, ...] = option(about='What is compared, by turns.')


def read_load(path: str) -> Result[Workload, Complaints]:
    """Read a load; each complaint names file, line and key."""
    return load_settings(path, Workload).bind(lambda load: _check(load, path))


def _check(load: Workload, path: str) -> Result[Workload, Complaints]:
    complaints = [
        _complain(path, key, 'at least one', 'none')
        for key in ('kinds', 'accounts', 'cases', 'seeds', 'policies')
        if not getattr(load, key)
    ]
    complaints += [
        _complain(path, 'bursts.kind', 'a kind of this file', burst.kind)
        for case in load.cases.values()
        for burst in case.bursts
        if burst.kind and burst.kind not in load.kinds
    ]
    names = ', '.join(POLICIES)
    complaints += [
        _complain(path, 'policies', f'one of {names}', policy)
        for policy in load.policies
        if policy not in POLICIES
    ]
    if complaints:
        return Result.Error(tuple(complaints))
    return Result.Ok(load)


def _complain(path: str, key: str, expected: str, found: str) -> Complaint:
    return Complaint(file=path, line=1, key=key, expected=expected, found=found)
