"""Takes back grants and places whose owners are gone."""

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.home_reports import UNUSED_GRANT_SECONDS
from limpetdrift.state.queue import EndpointQueue

MAX_POLL_SECONDS = 5.0
ABANDONED_POLL_SECONDS = 3.0


def drop_overdue(queue: EndpointQueue) -> None:
    """Take back the grants that are past their deadlines."""
    # Covers an engine that never answers: nothing outlives its deadline.
    now = trio.current_time()
    overdue = [
        ticket.grant_id
        for ticket in queue.granted.values()
        if ticket.deadline_at + UNUSED_GRANT_SECONDS < now
    ]
    for grant_id in overdue:
        telemetry.count('grants_expired', cause='deadline')
        queue.remove(grant_id)


def drop_abandoned(queue: EndpointQueue) -> None:
    """Take out what waits and is past its deadline, or no longer polled."""
    now = trio.current_time()
    oldest = now - MAX_POLL_SECONDS - ABANDONED_POLL_SECONDS
    gone = [
        ticket.grant_id
        for ticket in queue.waiting
        if ticket.polled_at < oldest or ticket.deadline_at < now
    ]
    for grant_id in gone:
        telemetry.count('grants_expired', cause='abandoned')
        queue.remove(grant_id)
