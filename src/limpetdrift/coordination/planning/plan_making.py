"""Turns a chosen split into a plan, within the permits of its engines."""

from absl import logging

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_permits import EndpointPermits
from limpetdrift.coordination.engines.prompt_splitting import (
    Split,
    choose_split,
)
from limpetdrift.coordination.scheduling.returns import MIN_RETRY_AFTER_SECONDS
from limpetdrift.logs import note, warn
from limpetdrift.protocol.plans import (
    EndpointId,
    Plan,
    PlanRequest,
    ReservedTokens,
)
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_view import PEER_SOURCE, EndpointView
from limpetdrift.state.engine_ledger import EngineLedger
from limpetdrift.state.engine_usage import EngineUsage
from limpetdrift.verdict import Failure, Reason, not_run


def endpoint_id_of(endpoint: ListedEndpoint) -> EndpointId:
    """Return the identifier of an endpoint in messages."""
    return EndpointId(name=endpoint.name, lifetime=endpoint.lifetime)


def mark_full(ledger: EngineLedger, full: tuple[EndpointId, ...]) -> None:
    """Prefer others for a while to engines that turned requests away."""
    for each in full:
        ledger.mark_full((each.name, each.lifetime))
        note('engine full', engine=each.name)


def mark_leaving(view: EndpointView, leaving: tuple[EndpointId, ...]) -> None:
    """Use engines no more that a peer reports as leaving."""
    for each in leaving:
        endpoint = view.find(each.name, each.lifetime)
        if endpoint is not None:
            view.mark_leaving(endpoint, PEER_SOURCE)


def find_callable(
    permits: EndpointPermits,
    endpoints: tuple[ListedEndpoint, ...],
    permitted: frozenset[EndpointIdentity],
    *,
    is_decider: bool,
) -> tuple[ListedEndpoint, ...]:
    """Return the engines that may get a prompt, with those ``permitted``."""
    if not is_decider:
        return permits.unlimited_only(endpoints)
    if not permitted:
        return permits.open_only(endpoints)
    return tuple(
        each
        for each in endpoints
        if each.identity in permitted or permits.may_call(each)
    )


def choose_sound_split(
    request: PlanRequest,
    usages: tuple[EngineUsage, ...],
    cost_model: EngineCostModel,
) -> tuple[Split | None, tuple[EngineUsage, ...]]:
    """Return the split of least cost, and the engines it was chosen from.

    An engine whose load no plan can be made with is left out, so that it
    doesn't keep prompts from all others.
    """
    try:
        return choose_split(request, usages, cost_model), usages
    except Exception:
        logging.exception('plan failed')
        telemetry.count('plans_failed')
    sound = tuple(
        each for each in usages if _is_plannable(request, each, cost_model)
    )
    split = choose_split(request, sound, cost_model) if sound else None
    return split, sound


def _is_plannable(
    request: PlanRequest, usage: EngineUsage, cost_model: EngineCostModel
) -> bool:
    try:
        choose_split(request, (usage,), cost_model)
    except Exception as error:
        warn(
            'no plan can be made with the load of an engine',
            engine=usage.endpoint.name,
            error=repr(error),
        )
        return False
    return True


def refuse_for_engines(request: PlanRequest) -> Failure:
    """Return the refusal of a prompt for which there is no engine."""
    return not_run(
        Reason.NO_ENDPOINT,
        request.service,
        retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
    )


def take_permits(
    permits: EndpointPermits,
    split: Split,
    permitted: frozenset[EndpointIdentity],
) -> tuple[EndpointId, ...]:
    """Count a plan's calls; return the engines that limit their rate.

    Calls to those ``permitted`` are counted already.
    """
    return tuple(
        endpoint_id_of(usage.endpoint)
        for usage in (split.writer, *split.helpers)
        if usage.endpoint.identity in permitted or permits.take(usage.endpoint)
    )


def make_plan(
    grant: str,
    split: Split,
    request: PlanRequest,
    permitted: tuple[EndpointId, ...],
) -> Plan:
    """Return the plan of a split, under the name ``grant``."""
    return Plan(
        grant=grant,
        writer=endpoint_id_of(split.writer.endpoint),
        helpers=tuple(endpoint_id_of(each.endpoint) for each in split.helpers),
        reserved=tuple(
            ReservedTokens(
                endpoint=endpoint_id_of(usage.endpoint), tokens=tokens
            )
            for usage, tokens in split.reserved
        ),
        delay_seconds=split.delay_seconds,
        read_seconds=split.first_token_seconds,
        hold_seconds=request.hold_seconds,
        cost=split.cost,
        permitted=permitted,
    )
