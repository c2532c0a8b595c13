"""Tests that the configuration page has the tables of the declared options."""

import pathlib

from limpetdrift.state.reference import render_reference

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CONFIGURATION.md'


def test_configuration_page_has_the_rendered_tables():
    assert render_reference() in PAGE.read_text()
