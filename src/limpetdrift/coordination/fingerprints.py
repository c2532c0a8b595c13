"""Recognizes a request when its caller sends it again."""

from xxhash import xxh3_128_hexdigest

from limpetdrift.protocol.work import CallerRequest


def fingerprint_of(request: CallerRequest) -> str:
    """Return a hash of the client account, method, target and body.

    The request id is left out, since it differs each time.
    """
    identity = '\0'.join(
        (request.account, request.method, request.target)
    ).encode()
    return xxh3_128_hexdigest(identity + request.body)
