"""Defines the experiment file: site sizes, requests, faults and runs.

>>> loaded = load_experiment('experiments/simu-kona-80.yaml')
>>> loaded.ok.sizes.engines
20

A load is a fraction of the prefill throughput of all engines together.
"""

import itertools
from dataclasses import dataclass, field
from enum import StrEnum, unique
from pathlib import Path

from expression import Result

from limpetdrift.coordination.homes.policies import DEFAULT_POLICY, POLICIES
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


def _in_unit_interval(number: float) -> str:
    return '' if 0 <= number <= 1 else 'a share from 0 to 1'


def _known_policy(name: str) -> str:
    names = ', '.join(POLICIES)
    return '' if name in POLICIES else f'one of {names}'


def _on_loopback(address: Address) -> str:
    return '' if address.host == _LOOPBACK else f'a port of {_LOOPBACK}'


@unique
class FaultKind(StrEnum):
    """Faults that can be injected into the site under test."""

    KILL_ENGINE = 'kill-engine'
    KILL_ENTRY = 'kill-entry'
    CUT_DOMAIN = 'cut-domain'


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A fault to inject; its time counts from the start of the run."""

    at_seconds: float = option(
        key='at',
        unit=Unit.DURATION,
        about='When it is injected.',
    )
    kind: FaultKind = option(about='What fails.')
    number: int = option(
        1,
        check=at_least(1),
        about='Which engine, entry or failure domain, from 1.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Length:
    """Prompts of one length.

    ``shared`` is the fraction of a prompt that is the prefix of its group.
    """

    tokens: int = option(
        unit=Unit.TOKENS,
        check=above_zero,
        about='Tokens of the prompt.',
    )
    weight: float = option(
        check=above_zero,
        about='Relative frequency among the long, or the other, lengths.',
    )
    long: bool = option(
        False,
        about='Whether it is long: left out of the runs without long.',
    )
    shared: float = option(
        0.0,
        check=_in_unit_interval,
        about='The fraction of the prompt that its group shares.',
    )
    urgency: str = option('', about='The urgency that callers request.')
    deadline_seconds: float = option(
        DEFAULT_DEADLINE_SECONDS,
        key='deadline',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time for the whole answer.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteSizes:
    """Sizes of the site: its processes, and the limits of one engine."""

    entries: int = option(check=at_least(1), about='Number of entries.')
    engines: int = option(check=at_least(1), about='Number of engines.')
    engine_processes: int = option(
        1,
        check=at_least(1),
        about='Number of processes that host the engines.',
    )
    prefill_tokens_per_second: float = option(
        key='prefill',
        unit=Unit.RATE,
        check=above_zero,
        about='Prefill rate of one engine.',
    )
    chunk_tokens: int = option(
        DEFAULT_CHUNK_TOKENS,
        key='chunk',
        unit=Unit.TOKENS,
        check=above_zero,
        about='Prompt tokens that one engine prefills in a step.',
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
    """A client account that sends requests.

    ``key`` is needed only for a target site that is already running.
    """

    weight: float = option(
        1.0,
        check=above_zero,
        about='Relative number of requests among the accounts.',
    )
    key: Secret | None = option(None, about='Its bearer key.')


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """The distribution of requests, and how long they arrive."""

    duration_seconds: float = option(
        key='duration',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time during which requests arrive.',
    )
    warm_up_seconds: float = option(
        0.0,
        key='warm_up',
        unit=Unit.DURATION,
        about='Requests that arrive earlier are left out of the figures.',
    )
    long_every: int = option(
        DEFAULT_LONG_EVERY,
        check=at_least(2),
        about='One in this number of requests is long.',
    )
    lengths: tuple[Length, ...] = option(about='Prompt lengths.')
    groups: int = option(
        DEFAULT_GROUPS,
        check=at_least(1),
        about='Number of groups of prompts with a common prefix.',
    )
    grouped: float = option(
        0.5,
        check=_in_unit_interval,
        about='The fraction of the prompts that belong to a group.',
    )
    max_tokens: tuple[int, ...] = option(
        (32, 64, 128),
        check=at_least(1),
        about='Output limits in tokens, each equally frequent.',
    )
    most_sends: int = option(
        3,
        check=at_least(1),
        about='Maximum sends of one request, without resumptions.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A running site to which the load is sent."""

    entries: tuple[Address, ...] = option(
        (),
        check=_on_loopback,
        about='Caller addresses of its entries.',
    )
    engines: tuple[Address, ...] = option(
        (),
        check=_on_loopback,
        about='Engines whose load is sampled.',
    )
    checker: str = option(
        '',
        about='module:function that returns whether an answer is whole.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Experiment:
    """An experiment: a run for each combination of load, seed and policy."""

    name: str = option(about='Name of the experiment.')
    model: str = option(about='The model that callers request.')
    sizes: SiteSizes = option(about='Sizes of the site.')
    mix: Mix = option(about='The requests.')
    accounts: dict[str, LoadAccount] = option(
        about='Client accounts that send requests.'
    )
    loads: tuple[float, ...] = option(
        check=above_zero,
        about='Loads as fractions of the capacity; 0.8 is four fifths.',
    )
    seeds: tuple[int, ...] = option(
        about='Seeds; each combination runs once with each.'
    )
    policies: tuple[str, ...] = option(
        (DEFAULT_POLICY,),
        check=_known_policy,
        about='Placement policies to compare, run alternately.',
    )
    without_long: bool = option(
        True,
        about='Whether each run is repeated without the long prompts.',
    )
    faults: tuple[Fault, ...] = option(
        (), about='Faults to inject during each run.'
    )
    target: Target = field(default_factory=Target)


@dataclass(frozen=True, kw_only=True, slots=True)
class RunSpec:
    """The parameters of one run of an experiment.

    Written records carry it under the name ``case``.
    """

    policy: str
    load: float
    seed: int
    with_long: bool = True


def load_experiment(path: str) -> Result[Experiment, Complaints]:
    """Read and validate an experiment.

    Each complaint names the file, the line and the key.
    """
    try:
        text = Path(path).read_text('utf-8')
    except OSError as error:
        return Result.Error((_complain(path, 'a readable file', str(error)),))
    return load_document(text, path, Experiment).bind(
        lambda experiment: _check_experiment(experiment, path),
    )


def list_runs(experiment: Experiment) -> tuple[RunSpec, ...]:
    """Return all runs in order; within each seed, policies alternate."""
    modes = (True, False) if experiment.without_long else (True,)
    combinations = itertools.product(
        experiment.loads,
        experiment.seeds,
        modes,
        experiment.policies,
    )
    return tuple(
        RunSpec(policy=policy, load=load, seed=seed, with_long=with_long)
        for load, seed, with_long, policy in combinations
    )


def _check_experiment(
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
