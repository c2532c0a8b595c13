"""What an experiment file says: site sizes, mix, arrivals, faults, cases.

>>> loaded = load_experiment('experiments/simu-kona-80.yaml')
>>> loaded.ok.sizes.engines
20

Loads are shares of the prefill work that all engines together can do.
"""

import itertools
from dataclasses import dataclass, field
from enum import StrEnum, unique
from pathlib import Path

from expression import Result

from limpetdrift.coordination.policies import DEFAULT_POLICY, POLICIES
from limpetdrift.protocol.configuration import Complaint, Complaints
from limpetdrift.settings import Secret
from limpetdrift.state.checked_yaml import load_document
from limpetdrift.state.options import (
    Unit,
    above_zero,
    at_least,
    option,
)
from limpetdrift.transport.messages import Address

SHORT_PROMPT_TOKENS = 4096
DEFAULT_DEADLINE_SECONDS = 60.0
DEFAULT_CHUNK_TOKENS = 2048
DEFAULT_LONG_EVERY = 50
DEFAULT_GROUPS = 60
_LOOPBACK = '127.0.0.1'


def _share(number: float) -> str:
    return '' if 0 <= number <= 1 else 'a share from 0 to 1'


def _policy(name: str) -> str:
    names = ', '.join(POLICIES)
    return '' if name in POLICIES else f'one of {names}'


def _on_loopback(address: Address) -> str:
    return '' if address.host == _LOOPBACK else f'a port of {_LOOPBACK}'


@unique
class FaultKind(StrEnum):
    """What can be made to fail in the site under test."""

    KILL_ENGINE = 'kill-engine'
    KILL_ENTRY = 'kill-entry'
    CUT_DOMAIN = 'cut-domain'


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A fault at a time after the first arrival may come."""

    at_seconds: float = option(
        key='at',
        unit=Unit.DURATION,
        about='When it happens.',
    )
    kind: FaultKind = option(about='What fails.')
    number: int = option(
        1,
        check=at_least(1),
        about='Which engine, entry or failure domain, from 1.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Length:
    """Prompts of one length; ``shared`` of each is common to its group."""

    tokens: int = option(
        unit=Unit.TOKENS,
        check=above_zero,
        about='Tokens of the prompt.',
    )
    weight: float = option(
        check=above_zero,
        about='How often it comes, against the others of its kind.',
    )
    long: bool = option(
        False,
        about='Whether it is one of the long ones, left out for comparison.',
    )
    shared: float = option(
        0.0,
        check=_share,
        about='The part of the prompt that its group shares.',
    )
    urgency: str = option('', about='The urgency that callers ask for.')
    deadline_seconds: float = option(
        DEFAULT_DEADLINE_SECONDS,
        key='deadline',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time for the whole answer.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteSizes:
    """The site: its processes, and the limits of one engine."""

    entries: int = option(check=at_least(1), about='How many entries.')
    engines: int = option(check=at_least(1), about='How many engines.')
    engine_processes: int = option(
        1,
        check=at_least(1),
        about='In how many processes the engines run.',
    )
    prefill_tokens_per_second: float = option(
        key='prefill',
        unit=Unit.RATE,
        check=above_zero,
        about='Prompt tokens that one engine works off.',
    )
    chunk_tokens: int = option(
        DEFAULT_CHUNK_TOKENS,
        key='chunk',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Prompt tokens that one engine works off in a step.',
    )
    step_seconds: float = option(
        key='step',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time between two tokens of a stream.',
    )
    memory_tokens: int = option(
        key='memory',
        unit=Unit.TOKENS,
        check=above_zero,
        about='KV memory of one engine.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadAccount:
    """A client account that sends; ``key`` is for sites not started here."""

    weight: float = option(
        1.0,
        check=above_zero,
        about='How much it sends, against the others.',
    )
    key: Secret | None = option(None, about='Its bearer key.')


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """What is sent, and for how long."""

    duration_seconds: float = option(
        key='duration',
        unit=Unit.DURATION,
        check=above_zero,
        about='How long requests arrive.',
    )
    warm_up_seconds: float = option(
        0.0,
        key='warm_up',
        unit=Unit.DURATION,
        about='Requests that arrive before are left out of the figures.',
    )
    long_every: int = option(
        DEFAULT_LONG_EVERY,
        check=at_least(2),
        about='One request of so many is long.',
    )
    lengths: tuple[Length, ...] = option(about='Lengths of prompts.')
    groups: int = option(
        DEFAULT_GROUPS,
        check=at_least(1),
        about='How many groups share prefixes.',
    )
    grouped: float = option(
        0.5,
        check=_share,
        about='The part of the prompts that belong to a group.',
    )
    max_tokens: tuple[int, ...] = option(
        (32, 64, 128),
        check=at_least(1),
        about='Output limits, each as often.',
    )
    most_sends: int = option(
        3,
        check=at_least(1),
        about='How often one request is sent, resumptions aside.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A running site that the load is sent to."""

    entries: tuple[Address, ...] = option(
        (),
        check=_on_loopback,
        about='Where its entries take callers.',
    )
    engines: tuple[Address, ...] = option(
        (),
        check=_on_loopback,
        about='Engines whose load is sampled.',
    )
    checker: str = option(
        '',
        about='module:function that tells whether an answer is whole.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Experiment:
    """One experiment: its cases are loads by seeds by policies."""

    name: str = option(about='What the experiment is called.')
    model: str = option(about='The model that callers ask for.')
    sizes: SiteSizes = option(about='The site.')
    mix: Mix = option(about='The requests.')
    accounts: dict[str, LoadAccount] = option(about='Who sends.')
    loads: tuple[float, ...] = option(
        check=above_zero,
        about='Shares of the capacity; 0.8 is four fifths.',
    )
    seeds: tuple[int, ...] = option(about='One run of each case a seed.')
    policies: tuple[str, ...] = option(
        (DEFAULT_POLICY,),
        check=_policy,
        about='Placement policies, by turns.',
    )
    without_long: bool = option(
        True,
        about='Whether each case also runs without the long prompts.',
    )
    faults: tuple[Fault, ...] = option((), about='What fails on the way.')
    target: Target = field(default_factory=Target)


@dataclass(frozen=True, kw_only=True, slots=True)
class RunSpec:
    """One run."""

    policy: str
    load: float
    seed: int
    with_long: bool = True


def load_experiment(path: str) -> Result[Experiment, Complaints]:
    """Read an experiment; each complaint names file, line and key."""
    try:
        text = Path(path).read_text('utf-8')
    except OSError as error:
        return Result.Error((_complain(path, 'a readable file', str(error)),))
    return load_document(text, path, Experiment).bind(
        lambda experiment: _check_whole(experiment, path),
    )


def list_runs(experiment: Experiment) -> tuple[RunSpec, ...]:
    """Return all cases, policies by turns within each seed."""
    modes = (True, False) if experiment.without_long else (True,)
    turns = itertools.product(
        experiment.loads,
        experiment.seeds,
        modes,
        experiment.policies,
    )
    return tuple(
        RunSpec(policy=policy, load=load, seed=seed, with_long=with_long)
        for load, seed, with_long, policy in turns
    )


def _check_whole(
    experiment: Experiment,
    path: str,
) -> Result[Experiment, Complaints]:
    complaints = []
    if not any(not each.long for each in experiment.mix.lengths):
        expected = 'a length that is not long'
        complaints.append(_complain(path, expected, '', 'mix.lengths'))
    if experiment.without_long and not _has_long(experiment):
        expected = 'false, or a long length to leave out'
        complaints.append(_complain(path, expected, 'true', 'without_long'))
    for key in ('accounts', 'loads', 'seeds', 'policies'):
        if not getattr(experiment, key):
            complaints.append(_complain(path, 'at least one', 'none', key))
    if complaints:
        return Result.Error(tuple(complaints))
    return Result.Ok(experiment)


def _has_long(experiment: Experiment) -> bool:
    return any(each.long for each in experiment.mix.lengths)


def _complain(path: str, expected: str, found: str, key: str = '') -> Complaint:
    return Complaint(file=path, line=1, key=key, expected=expected, found=found)
