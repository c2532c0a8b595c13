"""Sends the requests of an experiment to a site and records the results."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio
from expression import Result

from limpetdrift.client import Answer, Call, Client
from limpetdrift.loads.arrivals import Arrival, draw_case, make_messages
from limpetdrift.loads.experiment import Experiment, Fault, RunSpec, list_runs
from limpetdrift.loads.records import Record, RunRecord
from limpetdrift.loads.sampling import Sampler
from limpetdrift.loads.site import OpenSite, Site
from limpetdrift.protocol.openai import prompt_text
from limpetdrift.verdict import Failure


def run_experiment(
    experiment: Experiment,
    open_site: OpenSite,
) -> Iterator[RunRecord]:
    """Perform the runs one after the other, each on its own site."""
    for case in list_runs(experiment):
        with open_site(experiment, case.policy) as site:
            yield trio.run(run_case, experiment, case, site)


async def run_case(
    experiment: Experiment, case: RunSpec, site: Site
) -> RunRecord:
    """Send the requests of a run at their times, and wait for all answers."""
    sender = _Sender(experiment=experiment, case=case, site=site)
    arrivals = draw_case(experiment, case)
    sampler = Sampler(
        case=case,
        engines=site.engines,
        in_flight=lambda: sender.in_flight,
        started_at=sender.started_at,
    )
    async with trio.open_nursery() as background:
        background.start_soon(sampler.run)
        for fault in experiment.faults:
            background.start_soon(sender.inject_fault, fault)
        async with trio.open_nursery() as requests:
            for arrival in arrivals:
                await trio.sleep_until(sender.started_at + arrival.at)
                requests.start_soon(sender.send, arrival)
        background.cancel_scope.cancel()
    if not sampler.samples:
        # The run was shorter than the first sample.
        await sampler.take()
    return RunRecord(
        case=case,
        requests=tuple(sorted(sender.records, key=_request_number)),
        samples=tuple(sampler.samples),
    )


@dataclass(kw_only=True)
class _Sender:
    """Sends requests, with one client for each account."""

    experiment: Experiment
    case: RunSpec
    site: Site
    in_flight: int = 0
    records: list[Record] = field(default_factory=list)
    started_at: float = field(default_factory=trio.current_time)
    clients: dict[str, Client] = field(default_factory=dict)

    def __post_init__(self) -> None:
        seed = self.case.seed
        for account, key in self.site.keys.items():
            self.clients[account] = Client(
                seeds=self.site.entries,
                key=key,
                random_source=random.Random(f'{account}/{seed}'),
            )

    async def inject_fault(self, fault: Fault) -> None:
        """Inject the fault when its time has come."""
        await trio.sleep_until(self.started_at + fault.at_seconds)
        await self.site.inject_fault(fault)

    async def send(self, arrival: Arrival) -> None:
        """Send one request and record its result."""
        call = self._make_call(arrival)
        self.in_flight += 1
        started_at = trio.current_time()
        outcome = await self.clients[arrival.account].complete(call)
        self.in_flight -= 1
        whole = outcome.is_ok() and self.site.check(
            call.model,
            prompt_text(call.messages),
            call.max_tokens,
            outcome.ok.text,
        )
        ended = trio.current_time() - started_at
        at = started_at - self.started_at
        self.records.append(
            self._make_record(arrival, outcome, (at, ended, whole)),
        )

    def _make_call(self, arrival: Arrival) -> Call:
        return Call(
            model=self.experiment.model,
            messages=make_messages(arrival),
            max_tokens=arrival.max_tokens,
            deadline_seconds=arrival.length.deadline_seconds,
            urgency=arrival.length.urgency,
            most_sends=self.experiment.mix.most_sends,
        )

    def _make_record(
        self,
        arrival: Arrival,
        outcome: Result[Answer, Failure],
        measured: tuple[float, float, bool],
    ) -> Record:
        at, ended, whole = measured
        answer = outcome.ok if outcome.is_ok() else None
        failure = outcome.error if outcome.is_error() else None
        return Record(
            case=self.case,
            number=arrival.number,
            account=arrival.account,
            tokens=arrival.length.tokens,
            long=arrival.length.long,
            at=at,
            ended=ended,
            first_token=answer.first_token_seconds if answer else None,
            verdict=failure.verdict if failure else '',
            reason=failure.reason if failure else '',
            whole=whole,
            cached_tokens=answer.cached_tokens if answer else 0,
            sends=answer.sends if answer else 0,
            resumptions=answer.resumptions if answer else 0,
        )


def _request_number(record: Record) -> int:
    return record.number
