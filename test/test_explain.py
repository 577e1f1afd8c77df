"""The story of one request from the logs of several processes."""

from __future__ import annotations

import json

from filbertshelf.explain import find_messages, format_message


def line(request_id: str, at: float, **fields) -> str:
    return json.dumps(
        {"event": 204, "timestamp": at, "request_id": request_id, **fields}
    )


def test_lines_of_several_files_are_in_order_of_time(tmp_path):
    (tmp_path / "a").write_text(line("r1", 20.0, reason="second") + "\n")
    (tmp_path / "b").write_text(line("r1", 10.0, reason="first") + "\n")
    found = find_messages("r1", [tmp_path / "a", tmp_path / "b"])
    assert [message["reason"] for message in found] == ["first", "second"]


def test_a_prefix_of_a_collector_names_the_machine(tmp_path):
    # Guards against logs of the bench, or of a collector, that explain nothing.
    text = f"  1.25 front-1 {line('r1', 1.0, reason='lost')}\n"
    (tmp_path / "log").write_text(text)
    (message,) = find_messages("r1", [tmp_path / "log"])
    assert message["machine"] == "front-1"
    assert "attempt-failed: machine=front-1 reason=lost" in format_message(message)


def test_cut_lines_and_other_requests_are_left_out(tmp_path):
    text = line("r2", 1.0, reason="names r1") + "\n" + line("r1", 2.0)[:-9]
    (tmp_path / "log").write_text(text)
    assert find_messages("r1", [tmp_path / "log"]) == []
