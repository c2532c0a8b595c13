"""Who calls: bearer keys of client accounts."""

import hashlib
import hmac

from expression import Error, Ok, Result

from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.site import AccountConfig, SiteConfig
from limpetdrift.transport.messages import Request

_SCHEME = 'Bearer '


def hash_key(key: str) -> str:
    """Return the form in which a site's configuration keeps a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(site: SiteConfig, request: Request) -> Result[str, Failure]:
    """Return the name of the client account whose key the request bears.

    Every hash is compared, in constant time, so that the time taken tells
    nothing about the keys.
    """
    given = request.header('authorization')
    if not given.startswith(_SCHEME):
        return Error(not_run(Reason.UNAUTHORIZED, 'a bearer key is needed'))
    digest = hash_key(given.removeprefix(_SCHEME))
    found = ''
    for name, account in site.accounts.items():
        if _knows(account, digest):
            found = name
    if not found:
        return Error(not_run(Reason.UNAUTHORIZED, 'unknown key'))
    return Ok(found)


def _knows(account: AccountConfig, digest: str) -> bool:
    matches = [
        hmac.compare_digest(known, digest) for known in account.key_hashes
    ]
    return any(matches)
