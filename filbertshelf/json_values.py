"""Checks of numbers that other processes write, and their display in messages."""

from __future__ import annotations

import reprlib
import sys

MAX_INTEGER = 2**63 - 1
"""The largest integer that logs and messages between instances can hold."""

MAX_SHOWN_CHARS = 80


def is_integer(value: object) -> bool:
    """Return whether a value is an integer from 0 to `MAX_INTEGER`."""
    return type(value) is int and 0 <= value <= MAX_INTEGER


def is_number(value: object) -> bool:
    """Return whether a value is a finite number of at least 0 that a float can hold."""
    return type(value) in (int, float) and 0 <= value <= sys.float_info.max


def shown(value: object) -> str:
    """Return a value as short text for a message, whatever its size or nesting."""
    try:
        return reprlib.repr(value)[:MAX_SHOWN_CHARS]
    except ValueError:
        # Python converts no integer of thousands of digits.
        return f"a large {type(value).__name__}"
