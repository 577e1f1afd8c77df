"""Finding the messages of one request in the logs of several processes."""

from __future__ import annotations

import json

from filbertshelf.explain import find_messages, format_message


def log_line(request_id: str, at: float, **fields) -> str:
    return json.dumps(
        {"event": 204, "timestamp": at, "request_id": request_id, **fields}
    )


def test_messages_of_several_files_are_sorted_by_time(tmp_path):
    (tmp_path / "a").write_text(log_line("r1", 20.0, reason="second") + "\n")
    (tmp_path / "b").write_text(log_line("r1", 10.0, reason="first") + "\n")
    messages = find_messages("r1", [tmp_path / "a", tmp_path / "b"])
    assert [message["reason"] for message in messages] == ["first", "second"]


def test_a_collector_prefix_gives_the_machine(tmp_path):
    # Guards against finding no messages in the logs of the bench or of a log collector,
    # whose lines have a prefix.
    text = f"  1.25 front-1 {log_line('r1', 1.0, reason='lost')}\n"
    (tmp_path / "log").write_text(text)
    (message,) = find_messages("r1", [tmp_path / "log"])
    assert message["machine"] == "front-1"
    assert "attempt-failed: machine=front-1 reason=lost" in format_message(message)


def test_incomplete_lines_and_other_requests_are_ignored(tmp_path):
    text = log_line("r2", 1.0, reason="names r1") + "\n" + log_line("r1", 2.0)[:-9]
    (tmp_path / "log").write_text(text)
    assert find_messages("r1", [tmp_path / "log"]) == []
