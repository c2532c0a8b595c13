"""Seeds that once failed, with the cause; ``--failed`` runs them again."""

FAILED_SEEDS = {
    10: 'one crash of an endpoint was counted once for each equal request',
    17: 'an event was lost because its write was cancelled',
}
