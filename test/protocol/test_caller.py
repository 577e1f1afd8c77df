"""Tests of the JSON document of an answer."""

import json

import attrs

from filbertshelf.protocol.caller import answer_doc
from filbertshelf.state.outcome import Answer, Coverage, Missing, Outcome, Reason


def test_answer_document_has_every_field_of_the_answer():
    # Guards against a field that is added to the class but not to the document.
    answer = Answer(
        "r1",
        Outcome.PARTIAL,
        7,
        {"racks": {"index_version": "v1", "generation": 1}},
        Coverage(2, 1, (Missing("racks", "s1", Reason.TIMEOUT),)),
        ({"id": "a", "tags": ["x", {"y": None}]},),
        "",
        3,
    )
    expected = attrs.asdict(
        answer, value_serializer=lambda _i, _f, v: getattr(v, "value", v)
    )
    expected["coverage"]["missing"] = [
        {"service": "racks", "shard": "s1", "reason": Reason.TIMEOUT.value}
    ]
    assert json.dumps(answer_doc(answer)) == json.dumps(expected)
