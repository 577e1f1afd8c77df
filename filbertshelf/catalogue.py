"""Rendering of the reference pages, which a test compares with the files in docs."""

from __future__ import annotations

import attrs

from filbertshelf.events import CATALOGUE
from filbertshelf.settings import Settings

_EVENTS_HEAD = """# Events

Each line of an instance's log is one JSON object written by `eliot`. `event` is the
number below, `message_type` is `filbertshelf:` and the name, `timestamp` is in
seconds since 1970 (UTC). Numbers are grouped: 1xx instance lifecycle, 2xx requests
and routing, 3xx targets, 4xx configuration, 5xx peers and membership, 6xx bookings,
7xx limits and admission, 8xx quarantine. `filbertshelf explain REQUEST-ID LOG...`
shows the events of one request.

| number | name | level | meaning | fields |
|---|---|---|---|---|
"""

_SETTINGS_HEAD = """# Settings

The INI file of an instance. Unknown sections and keys are errors. Times are in
seconds. `filbertshelf check-settings FILE` reports all problems in one run.

| section | key | default | meaning | rule |
|---|---|---|---|---|
"""


def render_events() -> str:
    """Return the event catalogue as a Markdown page."""
    rows = [
        f"| {event.number} | {event.name} | {event.level.value} | {event.summary} "
        f"| {', '.join(event.fields)} |\n"
        for event in sorted(CATALOGUE.values(), key=lambda event: event.number)
    ]
    return _EVENTS_HEAD + "".join(rows)


def render_settings() -> str:
    """Return the settings as a Markdown page."""
    rows = []
    fields = attrs.fields(Settings)
    for field in sorted(fields, key=lambda field: field.metadata["section"]):
        meta = field.metadata
        default = "required" if meta["text"] is None else f"`{meta['text']}`"
        rows.append(
            f"| {meta['section']} | {field.name} | {default} | {meta['meaning']} "
            f"| {meta['remedy']} |\n"
        )
    return _SETTINGS_HEAD + "".join(rows)
