"""The reference pages say what the code does."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from filbertshelf import catalogue, events

ROOT = Path(__file__).parent.parent
PAGES = {"events.md": catalogue.render_events, "settings.md": catalogue.render_settings}


@pytest.mark.parametrize("page", PAGES)
def test_pages_equal_the_code(page):
    # To mend it: python -m test.test_catalogue writes the pages.
    assert (ROOT / "docs" / page).read_text() == PAGES[page]()


def test_every_event_is_emitted_somewhere():
    # Guards against a catalogue entry that no code writes any more.
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


if __name__ == "__main__":
    for name, render in PAGES.items():
        (ROOT / "docs" / name).write_text(render())
