"""Decides when an entry may confirm what the store shows in an era.

Answers many entries that start while the store comes back from an older copy:
others, or nobody, may know a newer configuration than the copy holds. All
functions depend only on their arguments.
"""

from dataclasses import dataclass

from limpetdrift.protocol.registered import RegisteredNode
from limpetdrift.protocol.routing_sync import (
    UNKNOWN_AGE_SECONDS,
    UNKNOWN_ERA,
    RoutingSyncReply,
)


@dataclass(frozen=True, kw_only=True)
class ConfirmationEvidence:
    """What an entry has learned in an era of the store.

    ``has_settled`` tells whether it could confirm a configuration before this
    era. ``replies`` are those of one round of polls; ``is_round_over`` tells
    whether each poll has ended, and ``is_peer_silent`` whether one of them got
    neither a reply nor a refused connection. ``registered`` are the entries'
    rows in the store as read in this era, ``None`` if they were not read.
    """

    era: int
    has_settled: bool
    routes_version: int
    replies: tuple[RoutingSyncReply, ...]
    is_round_over: bool
    is_peer_silent: bool
    registered: tuple[RegisteredNode, ...] | None
    is_wait_over: bool


def may_confirm(evidence: ConfirmationEvidence) -> bool:
    """Return whether what the store shows may be confirmed.

    An entry that has settled before needs one peer that has a confirmed
    configuration, or none that is silent. One that starts needs a peer that
    may confirm in this era, or rows that rule out an older copy.

    While no era is known, nothing was read that could be confirmed, so a round
    of polls is enough.
    """
    if evidence.era == UNKNOWN_ERA:
        return evidence.is_round_over
    if evidence.is_wait_over or any(
        knows_configuration(reply) and _is_settled(reply, evidence.era)
        for reply in evidence.replies
    ):
        return True
    if evidence.has_settled:
        is_any_informed = any(map(knows_configuration, evidence.replies))
        return evidence.is_round_over and (
            is_any_informed or not evidence.is_peer_silent
        )
    if evidence.registered is None:
        return False
    if not evidence.registered:
        # No entry has served before, or its row would be in the copy.
        return evidence.is_round_over
    return is_store_current(
        evidence.registered, evidence.era, evidence.routes_version
    )


def is_store_current(
    registered: tuple[RegisteredNode, ...], era: int, routes_version: int
) -> bool:
    """Return whether rows show that a configuration is not from a copy.

    An entry has then settled in this era, knowing no newer one; all that was
    acknowledged since is in the store.
    """
    versions = [each.routes_version for each in registered if each.era == era]
    return bool(versions) and max(versions) <= routes_version


def knows_configuration(reply: RoutingSyncReply) -> bool:
    """Return whether the replier has a configuration that was confirmed."""
    return (
        reply.routes_version > 0
        and reply.routes_age_seconds < UNKNOWN_AGE_SECONDS
    )


def _is_settled(reply: RoutingSyncReply, era: int) -> bool:
    """Return whether the replier may confirm in an era.

    An entry of a build that doesn't tell counts as one that may.
    """
    return reply.settled_era is None or reply.settled_era >= era
