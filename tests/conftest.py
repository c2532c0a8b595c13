"""Hypothesis settings for all tests: fixed seeds and no deadlines."""

from hypothesis import settings

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    print_blob=True,
)
settings.load_profile('fixed')
