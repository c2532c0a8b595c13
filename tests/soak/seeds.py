"""Seeds that failed once, each with its cause; played again by ``--failed``."""

FAILED = {
    10: 'equal requests at one endpoint that died were each held a crash',
    17: 'the write of an event was cancelled, and the event lost',
}
