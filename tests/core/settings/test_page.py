"""Tests of the page of the settings."""

from pathlib import Path

from mustardspur_core.settings.page import settings_page

_PAGE = Path(__file__).parents[3] / 'docs' / 'settings.md'


def test_page_matches_the_schema() -> None:
    """Guards against documented settings that a process does not take."""
    assert _PAGE.read_text('utf-8') == settings_page()
