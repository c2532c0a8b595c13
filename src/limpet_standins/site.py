"""Runs a small site until a signal, for manual trials (``make site``)."""

import signal
import sys

from limpet_standins.demo import SIZES
from limpet_standins.processes import Processes
from limpet_standins.small_site import MODEL, SmallSite, start_site


def main() -> None:
    """Start the site, print sample commands, and wait for a signal."""
    with Processes() as processes:
        site = start_site(processes, SIZES)
        sys.stdout.write(_describe(site))
        sys.stdout.flush()
        signal.sigwait({signal.SIGINT, signal.SIGTERM})


def _describe(site: SmallSite) -> str:
    entries = ','.join(site.entry_addresses)
    first = site.entry_addresses[0]
    body = (
        f'{{"model": "{MODEL}", "stream": true, "max_tokens": 20, '
        '"messages": [{"role": "user", "content": "Booth 12 has no tone"}]}'
    )
    secret_file = site.processes.folder / 'operator-secret'
    return (
        f'entries: {entries}\n'
        f'operators: limpetctl status --entry {first} '
        f'--secret-file {secret_file}\n'
        f'try: curl -N http://{first}/v1/chat/completions '
        f"-H 'Authorization: Bearer {site.key}' -d '{body}'\n"
        'Ctrl-C ends it.\n'
    )


if __name__ == '__main__':
    main()
