"""Definition of log events and their emission as eliot messages."""

from __future__ import annotations

import enum

import attrs
from eliot import log_message


class Level(enum.Enum):
    """The severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class Event:
    """One kind of event: its number, name, level, summary and field names."""

    number: int
    name: str
    level: Level
    summary: str
    fields: tuple[str, ...]


CATALOGUE: dict[int, Event] = {}


def define(
    number: int, name: str, summary: str, *fields: str, level: Level = Level.INFO
) -> Event:
    """Add an event to the catalogue and return it.

    Raises `ValueError` if the number or the name is already defined.
    """
    names = {event.name for event in CATALOGUE.values()}
    if number in CATALOGUE or name in names:
        raise ValueError(f"event {number} {name!r} is defined twice")
    event = Event(number, name, level, summary, fields)
    CATALOGUE[number] = event
    return event


def emit(event: Event, **fields: object) -> None:
    """Log the event as one eliot message.

    Raises `ValueError` for a field that the event does not define.
    """
    unknown = fields.keys() - set(event.fields)
    if unknown:
        raise ValueError(f"event {event.name!r} has no field {sorted(unknown)}")
    log_message(
        message_type=f"filbertshelf:{event.name}",
        event=event.number,
        level=event.level.value,
        **fields,
    )
