"""The reference pages are equal to what the code renders."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from filbertshelf import catalogue, events
from filbertshelf.coordination import gateway

ROOT = Path(__file__).parent.parent
PAGES = {"events.md": catalogue.render_events, "settings.md": catalogue.render_settings}


@pytest.mark.parametrize("page", PAGES)
def test_reference_page_equals_the_rendered_page(page):
    # Run `python -m test.test_catalogue` to write the pages again.
    assert (ROOT / "docs" / page).read_text() == PAGES[page]()


def test_every_event_is_emitted_somewhere():
    # Guards against a catalogue entry that no code emits any more.
    sources = [
        path.read_text()
        for path in (ROOT / "filbertshelf").rglob("*.py")
        if path.parent.name != "events"
    ]
    names = [
        name for name, item in vars(events).items() if isinstance(item, events.Event)
    ]
    unused = [
        name
        for name in names
        if not any(re.search(rf"events\.{name}\b", source) for source in sources)
    ]
    assert unused == []


def test_the_event_of_a_closed_connection_names_its_rate_limit():
    # Guards against a page that promises fewer lines than the log may have.
    assert gateway.MAX_BOUND_LINES_PER_S == 10
    summary = events.CONNECTION_CLOSED_FOR_BOUND.summary
    assert "at most ten lines a second" in summary
    assert "`peer` is the caller or, for untaken requests, the target" in summary


if __name__ == "__main__":
    for name, render in PAGES.items():
        (ROOT / "docs" / name).write_text(render())
