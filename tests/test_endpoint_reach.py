"""What an entry knows of its connections to endpoints."""

from limpetdrift.state.endpoint_reach import EndpointReach


def test_endpoints_are_missed_until_another_is_reached():
    reach = EndpointReach(clock=lambda: 1.0)
    for name in ('a', 'b', 'a'):
        reach.record_missed((name, 1))
    assert reach.missed == {('a', 1), ('b', 1)}
    reach.record_reached()
    assert not reach.missed
