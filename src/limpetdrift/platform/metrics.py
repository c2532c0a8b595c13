"""Serves metrics on the port that the deploy file names."""

import os

from limpetdrift import telemetry
from limpetdrift.logs import warn
from limpetdrift.platform.directory import DirectoryInputs
from limpetdrift.platform.entry_wiring import EntryComponents
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.programs.serving import add_health_routes
from limpetdrift.protocol.counts import parse_count
from limpetdrift.protocol.routing_sync import UNKNOWN_AGE_SECONDS
from limpetdrift.transport.connection_account import watch_accounts
from limpetdrift.transport.messages import MAX_PORT, Address
from limpetdrift.transport.routing import Routes

# Set by the deploy file to the port that it lists under ``metrics``.
PORT_VARIABLE = 'LIMPET_METRICS_PORT'


def metrics_address(settings: PlatformSettings) -> Address | None:
    """Return the address of the metrics, on the host of the callers' address.

    ``None`` if the environment names no usable port, or callers have no
    address: callers are served without metrics as well.
    """
    port = os.environ.get(PORT_VARIABLE, '')
    callers = settings.listeners.callers
    if callers is None or not port:
        return None
    number = parse_count(port)
    if number is None or not 0 < number <= MAX_PORT:
        warn('metrics are not served, bad port', variable=PORT_VARIABLE)
        return None
    return Address(host=callers.host, port=number)


def add_metrics_routes(routes: Routes, inputs: DirectoryInputs) -> None:
    """Serve ``/metrics``, ``/readyz`` and ``/healthz``."""
    add_health_routes(routes, inputs.is_ready)


def register_gauges(entry: EntryComponents) -> None:
    """Register gauges of the configuration, the entries and open requests."""
    telemetry.watch(
        'configuration_age_seconds',
        lambda: min(entry.routes.age_seconds(), UNKNOWN_AGE_SECONDS),
    )
    telemetry.watch('configuration_version', lambda: entry.routes.version)
    telemetry.watch('entries_listed', lambda: len(entry.directory.entries()))
    telemetry.watch('requests_open', lambda: entry.callers.open_exchanges)
    watch_accounts(entry.accounts)
    planner = entry.planning.planner
    telemetry.watch('prompts_waiting', lambda: len(planner.tentative))
    telemetry.watch(
        'store_readers_skipped',
        lambda: entry.replica.relay.readers.skipped_count,
    )
