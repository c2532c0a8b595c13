"""Seeds that once failed, with the cause; ``--failed`` runs them again."""

FAILED_SEEDS = {
    10: 'one crash of an endpoint was counted once for each equal request',
    17: 'an event was lost because its write was cancelled',
    2002: 'a second SIGTERM cut off the answers that were under way',
    2011: 'a second SIGTERM cut off the answers that were under way',
    2021: 'a second SIGTERM cut off the answers that were under way',
    2022: 'a second SIGTERM cut off the answers that were under way',
    2023: 'a second SIGTERM cut off the answers that were under way',
    2201: 'a stream ended in a silence of its engine, as no other took it',
    2202: 'a stream ended in a silence of its engine, as no other took it',
    8004: 'the stand-in noted a header as sent that it had not sent',
}
