"""Keeps a service running when one of its steps raises an unexpected error.

An exception that leaves a task of a service would end the whole process.
"""

from __future__ import annotations

import functools
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, ParamSpec, TypeVar

from filbertshelf import events

MAX_TRACEBACK_CHARS = 4_000
"""Longer tracebacks are cut at their start, which names only the callers."""

P = ParamSpec("P")
T = TypeVar("T")


def log_unexpected(where: str, exc: BaseException) -> None:
    """Log an error that the code at `where` doesn't expect, with its traceback."""
    lines = "".join(traceback.format_exception(exc))
    events.emit(
        events.UNEXPECTED_ERROR,
        where=where,
        reason=f"{type(exc).__name__}: {exc!s:.200}",
        traceback=lines[-MAX_TRACEBACK_CHARS:],
    )


async def contained(step: Awaitable[T], where: str) -> T | None:
    """Return the result of a step, or None after an unexpected error, which is logged.

    A cancelled step stays cancelled.
    """
    try:
        return await step
    except Exception as exc:
        log_unexpected(where, exc)
        return None


def contain_errors(
    step: Callable[P, Awaitable[T]],
) -> Callable[P, Coroutine[Any, Any, T | None]]:
    """Decorate one step of a service's loop, so that the loop outlives its errors."""

    @functools.wraps(step)
    async def run(*args: P.args, **kwargs: P.kwargs) -> T | None:
        return await contained(step(*args, **kwargs), step.__qualname__)

    return run
