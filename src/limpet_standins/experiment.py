"""Runs a load experiment, each run on a new site of stand-ins.

    python -m limpet_standins.experiment experiments/simu-kona-80.yaml \
        --out load-run

Engines share processes, each of which is in one failure domain. The
platform's services are not started, since these loads don't use them.
"""

import secrets
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Annotated, Any

import cappa
import yaml

from limpet_standins.answers import expected_text
from limpet_standins.processes import Processes, free_address
from limpet_standins.remote import RemoteError, fetch_json
from limpet_standins.small_site import FAILURE_DOMAINS, REGION
from limpetdrift.callers.access import hash_key
from limpetdrift.loads.experiment import Experiment, Fault, FaultKind
from limpetdrift.loads.output import save_runs
from limpetdrift.loads.running import run_experiment
from limpetdrift.loads.site import Site
from limpetdrift.programs.load import read_experiment
from limpetdrift.transport.messages import parse_address

MEMBERSHIP_SETTLE_SECONDS = 3.0
# Limits of a client account that are too high to affect a run: requests per
# second, thousands of tokens per second, and concurrent requests.
_NON_BINDING_LIMIT = 1_000_000


@dataclass(kw_only=True)
class StartedSite:
    """The processes of a site.

    ``keys`` are the API keys by client account, and ``engines`` the engines'
    addresses by name. ``engine_process_names`` are the names of the processes
    that run the engines, and ``nodes`` the identities of the entries.
    """

    processes: Processes
    experiment: Experiment
    keys: dict[str, str]
    engines: dict[str, str] = field(default_factory=dict)
    engine_process_names: list[str] = field(default_factory=list)
    nodes: list[dict[str, Any]] = field(default_factory=list)

    async def inject_fault(self, fault: Fault) -> None:
        """Kill the engine, entry or failure domain that the fault selects."""
        if fault.kind is FaultKind.KILL_ENTRY:
            self.processes.kill(self.nodes[fault.number - 1]['name'])
        elif fault.kind is FaultKind.KILL_ENGINE:
            await self._kill_engine(fault.number - 1)
        else:
            self._kill_domain(fault.number - 1)

    async def _kill_engine(self, index: int) -> None:
        address = list(self.engines.values())[index]
        try:
            await fetch_json(
                address,
                'POST',
                '/control/faults',
                {'exit': True},
            )
        except RemoteError:
            return

    def _kill_domain(self, index: int) -> None:
        for number, process_name in enumerate(self.engine_process_names):
            if _failure_domain(number) == FAILURE_DOMAINS[index]:
                self.processes.kill(process_name)
        for node in self.nodes:
            if node['failure_domain'] == FAILURE_DOMAINS[index]:
                self.processes.kill(node['name'])


def is_whole(model: str, prompt: str, max_tokens: int, text: str) -> bool:
    """Return whether the text is the complete answer to the prompt."""
    return text == ''.join(expected_text(model, prompt, max_tokens))


@contextmanager
def open_site(experiment: Experiment, policy: str) -> Iterator[Site]:
    """Run a site whose entries use the placement policy, until exit."""
    keys = {name: secrets.token_hex() for name in experiment.accounts}
    with Processes() as processes:
        started = StartedSite(
            processes=processes,
            experiment=experiment,
            keys=keys,
        )
        _start_engines(started)
        _start_entries(started, policy)
        yield Site(
            entries=tuple(
                parse_address(node['caller_address']) for node in started.nodes
            ),
            engines=tuple(map(parse_address, started.engines.values())),
            keys=keys,
            check=is_whole,
            inject_fault=started.inject_fault,
        )


def _start_engines(started: StartedSite) -> None:
    sizes = started.experiment.sizes
    process_count = min(sizes.engine_processes, sizes.engines)
    for number in range(process_count):
        count = len(range(number, sizes.engines, process_count))
        name = _numbered_name('engines', number)
        started.processes.spawn(
            name,
            'limpet_standins.engine',
            '--name',
            name,
            '--engines',
            str(count),
            '--model',
            started.experiment.model,
            '--memory-tokens',
            str(sizes.memory_tokens),
            '--prefill-rate',
            str(sizes.prefill_tokens_per_second),
            '--chunk-tokens',
            str(sizes.chunk_tokens),
            '--step-seconds',
            str(sizes.step_seconds),
        )
        started.engine_process_names.append(name)
    for process_name in started.engine_process_names:
        ready = started.processes.wait_ready(process_name)
        started.engines.update(ready.addresses)


def _start_entries(started: StartedSite, policy: str) -> None:
    started.nodes += [
        _node(number) for number in range(started.experiment.sizes.entries)
    ]
    processes = started.processes
    site_file = processes.write(
        'site.yaml', yaml.safe_dump(_site_document(started))
    )
    secret = processes.write('secret', secrets.token_hex())
    for node in started.nodes:
        settings = {
            'name': node['name'],
            'region': REGION,
            'site': started.experiment.name,
            'failure_domain': node['failure_domain'],
            'caller_listen': node['caller_address'],
            'peer_listen': node['peer_address'],
            'peer_secret': {'file': str(secret)},
            'operator_secret': {'file': str(secret)},
            'site_file': str(site_file),
            'placement_policy': policy,
            'endpoints': _endpoints(started),
            'seeds': [each['peer_address'] for each in started.nodes],
        }
        name = node['name']
        path = processes.write(f'{name}.yaml', yaml.safe_dump(settings))
        module = 'limpetdrift.programs.entry'
        processes.spawn(name, module, '--settings', str(path))
    for node in started.nodes:
        processes.wait_ready(node['name'])
    # The homes of endpoints change until the membership of every entry
    # lists all the others.
    time.sleep(MEMBERSHIP_SETTLE_SECONDS)


def _endpoints(started: StartedSite) -> list[dict[str, Any]]:
    return [
        {
            'name': name,
            'role': 'engine',
            'address': address,
            'failure_domain': _failure_domain(_process_index(name)),
            'service': '',
            'model': started.experiment.model,
        }
        for name, address in started.engines.items()
    ]


def _process_index(engine: str) -> int:
    return int(engine.split('-')[1]) - 1


def _node(number: int) -> dict[str, Any]:
    return {
        'name': _numbered_name('entry', number),
        'incarnation': 0,
        'role': 'entry',
        'region': REGION,
        'failure_domain': _failure_domain(number),
        'caller_address': free_address(),
        'peer_address': free_address(),
    }


def _numbered_name(kind: str, index: int) -> str:
    number = index + 1
    return f'{kind}-{number}'


def _failure_domain(number: int) -> str:
    return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]


def _site_document(started: StartedSite) -> dict[str, Any]:
    experiment = started.experiment
    urgencies = {each.urgency for each in experiment.mix.lengths} - {''}
    return {
        'brand': experiment.name,
        'models': {experiment.model: {'version': '1'}},
        'accounts': {
            name: {
                'key_hashes': [hash_key(key)],
                'requests': f'{_NON_BINDING_LIMIT}/s',
                'tokens': f'{_NON_BINDING_LIMIT}k/s',
                'concurrency': _NON_BINDING_LIMIT,
            }
            for name, key in started.keys.items()
        },
        'urgencies': {
            name: {'rank': rank}
            for rank, name in enumerate(('normal', *sorted(urgencies)))
        },
        'default_urgency': 'normal',
    }


@cappa.command(name='limpet-experiment')
@dataclass
class ExperimentCommand:
    """Run an experiment on a site of stand-ins."""

    experiment: Annotated[str, cappa.Arg(help='The YAML file.')]
    out: Annotated[str, cappa.Arg(long=True)] = 'load-run'
    seed: Annotated[
        list[int],
        cappa.Arg(long=True, help='Only this seed; may be repeated.'),
    ] = field(default_factory=list)
    policy: Annotated[
        list[str],
        cappa.Arg(long=True, help='Only this policy; may be repeated.'),
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Run the experiment and write its records, report and plots."""
        loaded = read_experiment(self.experiment)
        experiment = replace(
            loaded,
            seeds=tuple(self.seed) or loaded.seeds,
            policies=tuple(self.policy) or loaded.policies,
        )
        runs = run_experiment(experiment, open_site)
        save_runs(Path(self.out), experiment, runs)


if __name__ == '__main__':
    cappa.invoke(ExperimentCommand)
