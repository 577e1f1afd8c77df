"""Labels and the selectors that match them."""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping

import attrs

from filbertshelf.errors import SelectorError

Labels = Mapping[str, str]

_WORD = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_REQUIREMENT = re.compile(
    rf"""
    (?P<absent>!\s*)?(?P<key>{_WORD})
    (?: \s*(?P<compare>!=|=)\s*(?P<value>{_WORD})
      | \s+(?P<set>in|notin)\s*\(\s*(?P<values>{_WORD}(?:\s*,\s*{_WORD})*)\s*\)
    )?
    """,
    re.VERBOSE,
)
_REMEDY = (
    "write comma-separated requirements of the forms key=value, key!=value, "
    "key in (a, b), key notin (a, b), key, !key"
)


class Operator(enum.Enum):
    """How a requirement compares a label with its values."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


@attrs.frozen
class Requirement:
    """One condition on one label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels meet this condition."""
        value = labels.get(self.key)
        if self.operator is Operator.EXISTS:
            return value is not None
        if self.operator is Operator.ABSENT:
            return value is None
        return (value in self.values) == (self.operator is Operator.IN)


@attrs.frozen
class Selector:
    """A conjunction of requirements; without any it matches all labels."""

    text: str
    requirements: tuple[Requirement, ...]

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Parse a selector.

        Raises `SelectorError` if the text doesn't follow the grammar.
        """
        requirements = []
        rest = text.strip()
        while rest:
            match = _REQUIREMENT.match(rest)
            if match is None:
                raise SelectorError(f"selector {text!r} fails at {rest!r}", _REMEDY)
            requirements.append(_requirement(text, match))
            rest = rest[match.end() :].lstrip()
            if rest and not rest.startswith(","):
                raise SelectorError(f"selector {text!r} fails at {rest!r}", _REMEDY)
            if rest == ",":
                raise SelectorError(f"selector {text!r} ends in a comma", _REMEDY)
            rest = rest[1:].lstrip()
        return cls(text, tuple(requirements))

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels meet all requirements."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def _requirement(text: str, match: re.Match) -> Requirement:
    key = match["key"]
    if match["absent"]:
        if match["compare"] or match["set"]:
            raise SelectorError(f"selector {text!r} compares an absent label", _REMEDY)
        return Requirement(key, Operator.ABSENT)
    if match["compare"]:
        equal = match["compare"] == "="
        operator = Operator.IN if equal else Operator.NOT_IN
        return Requirement(key, operator, frozenset({match["value"]}))
    if match["set"]:
        values = frozenset(value.strip() for value in match["values"].split(","))
        return Requirement(key, Operator(match["set"]), values)
    return Requirement(key, Operator.EXISTS)
