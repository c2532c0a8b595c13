"""When an entry may rely on its configuration, by an injected clock."""

from limpetdrift.coordination.config_confirmation import (
    ConfigurationTiming,
    ConfirmationState,
    PeerReachability,
)
from limpetdrift.protocol.verdict import Reason

WELL = PeerReachability(answering=4, silent=0)
ALONE = PeerReachability(answering=1, silent=3)


class Clock:
    seconds = 100.0

    def now(self):
        return self.seconds


def confirmed():
    clock = Clock()
    confirmation = ConfirmationState(
        now=clock.now, timing=ConfigurationTiming()
    )
    confirmation.record_heartbeat(WELL, list_reachable=True)
    confirmation.confirm(confirmation.generation)
    assert confirmation.check() is None
    return clock, confirmation


def test_a_confirmation_asked_for_before_a_pause_does_not_count_after_it():
    clock, confirmation = confirmed()
    asked = confirmation.generation
    clock.seconds += 10
    confirmation.confirm(asked)
    confirmation.record_heartbeat(WELL, list_reachable=True)
    assert confirmation.check() is Reason.UNCONFIRMED
    asked = confirmation.generation
    clock.seconds += 10
    confirmation.confirm(asked)
    confirmation.record_heartbeat(WELL, list_reachable=True)
    assert confirmation.check() is Reason.UNCONFIRMED
    confirmation.confirm(confirmation.generation)
    assert confirmation.check() is None


def beat_for(clock, confirmation, seconds, *, list_reachable=False):
    for _ in range(int(seconds * 4)):
        clock.seconds += 0.25
        confirmation.record_heartbeat(ALONE, list_reachable=list_reachable)


def test_silent_peers_cut_off_only_without_store_and_list():
    clock, confirmation = confirmed()
    beat_for(clock, confirmation, 60, list_reachable=True)
    assert confirmation.check() is None
    beat_for(clock, confirmation, 3)
    assert confirmation.is_isolation_suspected
    confirmation.record_contact(clock.now())
    beat_for(clock, confirmation, 3)
    assert confirmation.check() is None
    beat_for(clock, confirmation, 1)
    assert confirmation.check() is Reason.PARTITIONED
    confirmation.record_heartbeat(WELL, list_reachable=False)
    assert confirmation.check() is Reason.UNCONFIRMED
