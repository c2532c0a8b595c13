"""``limpet-steward``: sends orders to engines and sweeps the claims table.

Several stewards may run; each group of work is done by the one that holds its
lease.
"""

import random
import time
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import cappa
import trio

from limpetdrift import logs
from limpetdrift.coordination.reconciliation.groups import (
    ORDERS_GROUP,
    SWEEP_GROUP,
    keep_leases,
    release_leases,
    sweep_under_lease,
)
from limpetdrift.coordination.reconciliation.orders import (
    DesiredState,
    Reconciler,
)
from limpetdrift.programs.process_accounts import make_process_accounts
from limpetdrift.programs.serving import (
    add_health_routes,
    announce,
    stop_on_signals,
)
from limpetdrift.programs.settings_file import load_settings_or_exit
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.objects import make_object_calls
from limpetdrift.protocol.orders import make_order_calls
from limpetdrift.protocol.table_client import make_table_calls
from limpetdrift.protocol.weights import make_weight_rate_call
from limpetdrift.settings import StewardSettings
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.state.claim_sweep import ClaimSweep, EpochClock
from limpetdrift.state.leases import Lease
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.holding import SHORT_BODY_BYTES
from limpetdrift.transport.messages import Address
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, bound_address, listen

# Bounds the release of the leases at the end. A lease that was not released
# expires, which delays its takeover by another steward.
LEASE_RELEASE_TIMEOUT_SECONDS = 5.0


@cappa.command(
    name='limpet-steward',
    help='Bring engines to the configured state.',
)
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """Arguments of the command line."""

    settings: Annotated[
        str,
        cappa.Arg(long='--settings', help='The YAML file of settings.'),
    ]


def main() -> None:
    """Read the settings and the site file, and run until stopped."""
    arguments = cappa.parse(Arguments)
    settings = load_settings_or_exit(arguments.settings, StewardSettings)
    logs.set_up('limpet-steward', settings.log_level)
    site = load_settings_or_exit(settings.site_file, SiteConfig)
    trio.run(serve, settings, site)


async def serve(settings: StewardSettings, site: SiteConfig) -> None:
    """Run one steward until a signal stops it; release its leases then."""
    client = HttpClient()
    randomness = random.Random()
    budget = make_budget(settings, client, randomness)
    leases = make_leases(settings, budget)
    async with trio.open_nursery() as nursery:
        release = partial(_release, tuple(leases.values()))
        nursery.start_soon(stop_on_signals, release, nursery.cancel_scope)
        nursery.start_soon(budget.run)
        nursery.start_soon(keep_leases, tuple(leases.values()), randomness)
        reconciler = make_reconciler(
            settings,
            site,
            client,
            leases[ORDERS_GROUP],
        )
        nursery.start_soon(reconciler.run)
        _start_sweep(settings, client, budget, leases[SWEEP_GROUP], nursery)
        address = await _serve_health(settings, nursery)
        announce(settings.name, address=address)


def make_budget(
    settings: StewardSettings,
    client: HttpClient,
    randomness: random.Random,
) -> Budget:
    """Build the budget of this process's calls to the table service.

    It keeps the process to its share of the service's rates.
    """
    return Budget(
        calls=make_table_calls(client, _required(settings.platform.table)),
        rates=StoreRates(
            reads_per_second=settings.store_reads_per_second,
            writes_per_second=settings.store_writes_per_second,
        ),
        live_nodes=lambda: settings.live_nodes,
        randomness=randomness,
    )


def make_leases(
    settings: StewardSettings,
    budget: Budget,
) -> dict[str, Lease]:
    """Build the lease of each group of work, by the group's name.

    The holder's name contains the start time, so that a restarted process
    counts as another holder.
    """
    holder = f'{settings.name}-{time.time_ns()}'
    table = budget.calls(Priority.CONTROL)
    return {
        group: Lease(group=group, holder=holder, table=table)
        for group in (ORDERS_GROUP, SWEEP_GROUP)
    }


def make_reconciler(
    settings: StewardSettings,
    site: SiteConfig,
    client: HttpClient,
    lease: Lease,
) -> Reconciler:
    """Build the reconciler, which sends orders to the engines."""
    engines = _choose_engines(settings.endpoints)
    return Reconciler(
        lease=lease,
        desired=DesiredState(
            models=lambda: site.models, engines=lambda: engines
        ),
        orders=make_order_calls(client),
        weight_rate=make_weight_rate_call(
            client,
            _required(settings.platform.weights),
        ),
        loads_in_flight=settings.loads_in_flight,
    )


def _start_sweep(
    settings: StewardSettings,
    client: HttpClient,
    budget: Budget,
    lease: Lease,
    nursery: trio.Nursery,
) -> None:
    table = budget.calls(Priority.CONTROL)
    objects = make_object_calls(client, _required(settings.platform.objects))
    clock = EpochClock(table=table, may_advance=True)
    sweep = ClaimSweep(table=table, objects=objects)
    nursery.start_soon(clock.run)
    nursery.start_soon(
        sweep_under_lease,
        lease,
        sweep,
        lambda: clock.current,
    )


async def _serve_health(
    settings: StewardSettings, nursery: trio.Nursery
) -> Address:
    routes = Routes()
    add_health_routes(routes, lambda: True)
    listeners = await listen(settings.listen)
    server = Server(
        handler=routes.handle,
        limits=ServerLimits(body_bytes=SHORT_BODY_BYTES),
        account=make_process_accounts(settings.limits).internal,
    )
    await nursery.start(server.serve, listeners)
    return bound_address(listeners)


async def _release(leases: tuple[Lease, ...]) -> None:
    with trio.move_on_after(LEASE_RELEASE_TIMEOUT_SECONDS):
        await release_leases(leases)


def _choose_engines(
    endpoints: tuple[Endpoint, ...],
) -> tuple[Endpoint, ...]:
    return tuple(each for each in endpoints if each.role is Role.ENGINE)


def _required(address: Address | None) -> Address:
    if address is None:
        raise ValueError(
            'platform settings: expected addresses of table, objects, weights',
        )
    return address


if __name__ == '__main__':
    main()
