"""Expires grants and waiting tickets whose owners are gone."""

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.homes.home_reports import UNUSED_GRANT_SECONDS
from limpetdrift.state.queue import EndpointQueue

# Upper bound of the long-poll timeout that a poller may ask for.
MAX_LONG_POLL_SECONDS = 5.0
# Grace period for the next poll, after the longest long poll.
POLL_GRACE_SECONDS = 3.0


def drop_overdue_grants(queue: EndpointQueue) -> None:
    """Remove the grants that are past their deadlines and a grace period.

    This frees their memory at the home even if the engine never answers.
    """
    now = trio.current_time()
    overdue = [
        ticket.grant_id
        for ticket in queue.granted.values()
        if ticket.deadline_at + UNUSED_GRANT_SECONDS < now
    ]
    for grant_id in overdue:
        telemetry.count('grants_expired', cause='deadline')
        queue.remove(grant_id)


def drop_abandoned_tickets(queue: EndpointQueue) -> None:
    """Remove waiting tickets past their deadlines or no longer polled."""
    now = trio.current_time()
    oldest_poll_at = now - MAX_LONG_POLL_SECONDS - POLL_GRACE_SECONDS
    abandoned = [
        ticket.grant_id
        for ticket in queue.waiting
        if ticket.polled_at < oldest_poll_at or ticket.deadline_at < now
    ]
    for grant_id in abandoned:
        telemetry.count('grants_expired', cause='abandoned')
        queue.remove(grant_id)
