"""Documents from outside, with one field or some bytes changed.

Each decoder returns a value or its one kind of error, within a time. A row
names an address that can be connected to.
"""

import ipaddress
import time
from collections.abc import Callable

from expression import Result
from hypothesis import strategies as st

from fuzz.grammar import change_document
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.reports import decode_report
from limpetdrift.platform.settings import decode_settings
from limpetdrift.transport.messages import MAX_PORT
from test_platform_decoders import DOCUMENT, ENGINE, ROW

# Processor time of one decoding, far above that of any sample.
MAX_DECODE_SECONDS = 0.5
REPORT = {
    'stage': 'combined',
    'models': [{'name': 'm', 'version': 1}],
    'active': 12,
    'queued': 1,
    'kvUsed': 41_000,
    'pace': 1.5,
}
SETTINGS = {
    'nodeName': 'm-1',
    'listen': {'front': '10.0.0.1:80', 'control': '10.0.0.1:81'},
    'zone': 'z',
    'region': 'r',
    'platform': {'address': '10.0.0.2:80'},
    'seeds': ['10.0.0.3:81'],
    'limits': {'cpuShare': 0.5, 'maxFds': 4200},
    'bounds': {'drainMs': 2000, 'graceS': 8},
}
Decoder = Callable[[bytes], Result]
DECODERS: dict[str, tuple[dict[str, object], Decoder]] = {
    'row': (ROW, lambda payload: decode_endpoint('i-1', payload)),
    'report': (REPORT, lambda payload: decode_report(payload, ENGINE)),
    'configuration': (DOCUMENT, decode_route_table),
    'settings': (SETTINGS, decode_settings),
}
DOCUMENTS = st.sampled_from(sorted(DECODERS)).flatmap(
    lambda name: st.tuples(st.just(name), change_document(DECODERS[name][0]))
)


def check_document(name: str, payload: bytes) -> None:
    """Decode a document; raise ``AssertionError`` or what the decoder does."""
    began_at = time.process_time()
    decoded = DECODERS[name][1](payload)
    seconds = time.process_time() - began_at
    assert seconds < MAX_DECODE_SECONDS, f'{name} took {seconds} s'
    if name == 'row' and decoded.is_ok():
        host, _, port = decoded.ok.address.rpartition(':')
        assert ipaddress.ip_address(host)
        assert 0 < int(port) <= MAX_PORT, f'a row with port {port} is used'
