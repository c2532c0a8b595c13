"""Authenticates callers by the bearer keys of client accounts."""

import hashlib
import hmac

from expression import Error, Ok, Result

from limpetdrift.state.site import AccountConfig, SiteConfig
from limpetdrift.transport.messages import Request
from limpetdrift.verdict import Failure, Reason, not_run

_SCHEME = 'Bearer '


def hash_key(key: str) -> str:
    """Return the hash by which a site's configuration identifies a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(site: SiteConfig, request: Request) -> Result[str, Failure]:
    """Return the name of the client account whose key the request has.

    All key hashes are compared, each in constant time, so that the time of
    a call reveals nothing about the keys.
    """
    authorization = request.header('authorization')
    if not authorization.startswith(_SCHEME):
        return Error(not_run(Reason.UNAUTHORIZED, 'a bearer key is needed'))
    digest = hash_key(authorization.removeprefix(_SCHEME))
    found = ''
    for name, account in site.accounts.items():
        if _has_key(account, digest):
            found = name
    if not found:
        return Error(not_run(Reason.UNAUTHORIZED, 'unknown key'))
    return Ok(found)


def _has_key(account: AccountConfig, digest: str) -> bool:
    matches = [
        hmac.compare_digest(key_hash, digest) for key_hash in account.key_hashes
    ]
    return any(matches)
