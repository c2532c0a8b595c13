"""Runs an entry on the platform, as ``python3 -m limpetdrift.platform``."""

import gc
import signal


def main() -> None:
    """Run the entry; SIGHUP is ignored until its handler is there.

    By default the signal ends a process, also one that is still loading its
    libraries, which takes most of the time of a start. Meanwhile there is
    nothing to collect, and what is loaded stays until the end.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from limpetdrift.platform.program import run

    gc.freeze()
    gc.enable()
    run()


if __name__ == '__main__':
    main()
