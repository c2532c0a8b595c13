"""The configuration page holds the options as they are declared."""

import pathlib

from limpetdrift.state.reference import reference

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CONFIGURATION.md'


def test_the_page_is_current():
    assert reference() in PAGE.read_text()
