"""Recognizes requests whose answers are probably late already.

Answers a loss of all entries under load, and engines that fail in a burst:
callers come back together. If they went before new ones, these would become
late as well, and all would stay late until the burst is over. So such requests
leave a part of the slots to others, and have the lowest priority in the queues
of engines and among waiting prompts.
"""

from limpetdrift.protocol.work import CallerRequest

# The priority of requests that yield, the lowest there is.
YIELDING_PRIORITY = 9


def must_yield(work: CallerRequest, now: float) -> bool:
    """Return whether an answer is probably late already.

    Its target has passed, or its caller resumes a stream that has broken off.
    A stream that this entry has begun goes on as before.
    """
    if work.is_begun:
        return False
    is_resumed = work.last_event_id is not None
    return is_resumed or now - work.arrived_at > work.route.target_seconds


def effective_priority(work: CallerRequest, now: float) -> int:
    """Return the priority of a request as it is now, 0 for the highest."""
    return YIELDING_PRIORITY if must_yield(work, now) else work.priority
