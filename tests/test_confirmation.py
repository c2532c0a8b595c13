"""Tests when an entry may rely on its configuration, with a fake clock."""

from limpetdrift.coordination.configuration.config_confirmation import (
    ConfigurationTiming,
    ConfirmationState,
    PeerReachability,
)
from limpetdrift.verdict import Reason

REACHABLE = PeerReachability(answering=4, silent=0)
UNREACHABLE = PeerReachability(answering=1, silent=3)


class Clock:
    seconds = 100.0

    def now(self):
        return self.seconds


def make_confirmed():
    clock = Clock()
    confirmation = ConfirmationState(
        now=clock.now, timing=ConfigurationTiming()
    )
    confirmation.record_heartbeat(REACHABLE, list_reachable=True)
    confirmation.confirm(confirmation.generation)
    assert confirmation.check() is None
    return clock, confirmation


def test_confirmation_requested_before_a_pause_is_invalid_after_it():
    clock, confirmation = make_confirmed()
    generation = confirmation.generation
    clock.seconds += 10
    confirmation.confirm(generation)
    confirmation.record_heartbeat(REACHABLE, list_reachable=True)
    assert confirmation.check() is Reason.UNCONFIRMED
    generation = confirmation.generation
    clock.seconds += 10
    confirmation.confirm(generation)
    confirmation.record_heartbeat(REACHABLE, list_reachable=True)
    assert confirmation.check() is Reason.UNCONFIRMED
    confirmation.confirm(confirmation.generation)
    assert confirmation.check() is None


def record_heartbeats(clock, confirmation, seconds, *, list_reachable=False):
    for _ in range(int(seconds * 4)):
        clock.seconds += 0.25
        confirmation.record_heartbeat(
            UNREACHABLE, list_reachable=list_reachable
        )


def test_silent_peers_show_a_partition_only_without_store_and_list():
    clock, confirmation = make_confirmed()
    record_heartbeats(clock, confirmation, 60, list_reachable=True)
    assert confirmation.check() is None
    record_heartbeats(clock, confirmation, 3)
    assert confirmation.is_isolation_suspected
    confirmation.record_contact(clock.now())
    record_heartbeats(clock, confirmation, 3)
    assert confirmation.check() is None
    record_heartbeats(clock, confirmation, 1)
    assert confirmation.check() is Reason.PARTITIONED
    confirmation.record_heartbeat(REACHABLE, list_reachable=False)
    assert confirmation.check() is Reason.UNCONFIRMED
