"""Builds the forwarder of callers' requests."""

from collections.abc import Iterable

from expression import Result

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crashes.crash_guard import CrashGuard
from limpetdrift.coordination.forwarding.forwarding import (
    Forwarder,
)
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
)
from limpetdrift.coordination.planning.plain_placer import PlainPlacer
from limpetdrift.platform.admission import AdmissionInputs, check_key
from limpetdrift.platform.endpoint_client import make_send_request
from limpetdrift.platform.failure_responses import RenderFailure
from limpetdrift.platform.link_wiring import CarrierLinks, carry_if_cut
from limpetdrift.platform.planning_wiring import EntryContext, Planning
from limpetdrift.platform.reservations import make_reserver
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.verdict import Failure

# Safety margin of the retry budget, which all entries share: each entry uses
# only this part of its even share, since the number of entries varies.
RETRY_BUDGET_SHARE = 0.5
# Connect timeout, after which a new connection is given up.
ENDPOINT_CONNECT_TIMEOUT_SECONDS = 0.25
# Longest answer of an endpoint to a report poll or an order.
ENDPOINT_WHOLE_BYTES = 1_048_576
# Minimum number of entries that a site is assumed to have when the retry budget
# is divided among them, since an entry that starts knows no other yet.
_MIN_ENTRIES = 2


def build_forwarder(
    context: EntryContext,
    planning: Planning,
    admission: AdmissionInputs,
    crash_guard: CrashGuard,
    links: CarrierLinks,
    render: RenderFailure,
) -> Forwarder:
    """Return the forwarder of the requests that this entry admits."""
    plan_placer = planning.plan_placer
    plain_placer = PlainPlacer(
        view=context.view,
        permit_client=planning.permit_client,
        randomness=context.randomness,
    )
    gate = planning.gate
    endpoint_client = HttpClient(
        limits=ClientLimits(
            connect_seconds=ENDPOINT_CONNECT_TIMEOUT_SECONDS,
            idle_connections=0,
            whole_bytes=ENDPOINT_WHOLE_BYTES,
            # An engine may read a prompt for longer than it may hold memory
            # for one whose engine has died.
            probes_keep_alive=True,
        ),
    )

    async def place(
        request: CallerRequest,
        excluded: frozenset[EndpointIdentity],
    ) -> Result[DispatchPlan, Failure]:
        await planning.limit_exchange.wait_learned()
        service = context.routes.find_service(request.service)
        if service is None or service.engine is None:
            return await plain_placer.place(request, excluded)
        return await plan_placer.place(request, excluded)

    def release(
        request: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        # Only placements by the plan placer have a grant.
        placer = plan_placer if placement.grant else plain_placer
        placer.release(request, placement, failed)

    inputs = ForwardingInputs(
        place=place,
        release=release,
        confirm=plan_placer.confirm,
        reserve_memory=make_reserver(
            endpoint_client, context.node.name, gate, context.links
        ),
        send=make_send_request(
            endpoint_client, plain_placer.apply_load, gate, context.links
        ),
        check=lambda request: (
            crash_guard.refusal(request) or check_key(request, admission)
        ),
        report_broken_connection=crash_guard.report_broken_connection,
        report_harmless=crash_guard.report_harmless,
        isolate=crash_guard.isolate,
        is_suspected=crash_guard.is_suspected,
        render=render,
        view=context.view,
        budget=build_retry_budget(context),
        clock=boot_time,
        randomness=context.randomness,
    )

    def blame(
        request: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        if placement.grant:
            # A plan may end again.
            plan_placer.release(request, placement, failed)
        else:
            plain_placer.blame(failed)

    return Forwarder(inputs=carry_if_cut(inputs, links, blame))


def build_retry_budget(context: EntryContext) -> RetryBudget:
    """Return this entry's part of the budget that all entries share."""
    bounds = context.settings.bounds
    assumed = 2 * len(context.settings.failure_domains)

    def reserve() -> float:
        entries = max(_MIN_ENTRIES, assumed, len(context.entries()))
        return max(1.0, bounds.retry_reserve * RETRY_BUDGET_SHARE / entries)

    budget = RetryBudget(
        share=bounds.retry_share * RETRY_BUDGET_SHARE, reserve=reserve()
    )
    context.membership.on_change.append(
        lambda changed: budget.limit_balance(reserve())
    )
    return budget
