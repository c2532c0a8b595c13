"""Runs real entries while the store comes back from an older copy."""

import trio

from limpetdrift.platform.registration import TABLE as REGISTRATION_TABLE
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import OK, Address, Request
from soak.run import reserve_ports
from soak.site import HOST, Site

ENTRIES = 3
KEPT_KEY = 'key-0'
REVOKED_KEY = 'key-1'
UNAUTHORIZED = 401
UNAVAILABLE = 503
AWAY_SECONDS = 0.5
# Time after the return in which the copy is all that the store has.
GAP_SECONDS = 2.0
TIMEOUT_SECONDS = 30
# The ports of soak sites end below.
PORTS_SEED = 780


class Probe:
    """Sends one request at a time to each entry."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._client = HttpClient()
        self._count = 0

    async def statuses(self, key: str) -> set[int]:
        """Return the statuses that the entries give to a key, 0 for none."""
        found = set()
        for entry in self._site.entries:
            self._count += 1
            answer = await self._client.fetch(
                Address(host=entry.host, port=entry.port),
                Request(
                    method='POST',
                    path='/twice/x',
                    headers=(
                        ('host', HOST),
                        ('attempt-id', f'probe-{self._count}'),
                        ('deadline-ms', '1500'),
                        ('authorization', f'Bearer {key}'),
                    ),
                ),
                timeout_seconds=2.0,
            )
            found.add(answer.ok.status if answer.is_ok() else 0)
        return found

    async def wait_for(self, key: str, status: int) -> None:
        with trio.fail_after(TIMEOUT_SECONDS):
            found = await self.statuses(key)
            while found != {status}:
                await trio.sleep(0.1)
                found = await self.statuses(key)


async def wait_registered(site):
    with trio.fail_after(TIMEOUT_SECONDS):
        while len(site.store.rows.read(REGISTRATION_TABLE)) < ENTRIES:
            await site.store.rows.changed.wait()


async def return_with_a_key_revoked(site):
    """Revoke a key, and lose that version; return the statuses meanwhile."""
    probe = Probe(site)
    copy = site.store.rows.take_copy()
    await probe.wait_for(KEPT_KEY, OK)
    await wait_registered(site)
    site.revoke_key(REVOKED_KEY)
    await probe.wait_for(REVOKED_KEY, UNAUTHORIZED)
    await site.store.restore(copy, away_seconds=AWAY_SECONDS)
    assert not site.store.rows.read(REGISTRATION_TABLE)
    statuses = set()
    with trio.move_on_after(GAP_SECONDS):
        while True:
            statuses |= await probe.statuses(REVOKED_KEY)
            await trio.sleep(0.05)
    # The operator writes its newest version again.
    site.configuration_version -= 1
    site.publish_configuration()
    await wait_registered(site)
    await probe.wait_for(KEPT_KEY, OK)
    await probe.wait_for(REVOKED_KEY, UNAUTHORIZED)
    return statuses


async def run_site(folder):
    with reserve_ports(PORTS_SEED) as port:
        async with trio.open_nursery() as nursery:
            site = Site(folder=folder, port=port, nursery=nursery)
            try:
                await site.open(ENTRIES, engines=0, desks=2)
                statuses = await return_with_a_key_revoked(site)
            finally:
                site.close()
            nursery.cancel_scope.cancel()
    return statuses, [entry.log.read_text() for entry in site.entries]


def test_revoked_key_is_refused_while_the_store_shows_an_older_copy(tmp_path):
    statuses, logs = trio.run(run_site, tmp_path)
    # An entry may also refuse since its configuration is not confirmed.
    assert statuses <= {UNAUTHORIZED, UNAVAILABLE}
    for log in logs:
        assert '"message":"era of the store has risen","before":1' in log
        assert 'store shows an older configuration' in log
