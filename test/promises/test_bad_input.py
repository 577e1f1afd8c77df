"""Tests that bad input gets a typed error with a remedy and has no other effect."""

from __future__ import annotations

import asyncio
import json
import os

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from filbertshelf import events
from filbertshelf.clock import ManualClock
from filbertshelf.errors import HandshakeError, RequestError
from filbertshelf.protocol.caller import error_doc, parse_booking, parse_query
from filbertshelf.protocol.handshake import Hello
from filbertshelf.protocol.messages import VERSIONS, encode
from filbertshelf.state.members import Identity
from filbertshelf.state.quarantine import Quarantine
from filbertshelf.transport import caller_server
from filbertshelf.transport.handshake import Credentials, connect_handshake

JSON = "application/json"
QUERY = {"caller": "desk", "query": {}}


def encode_request(**fields):
    return json.dumps({**QUERY, **fields}).encode()


def nested_request(depth):
    return b'{"caller": "desk", "query": {"a": ' + b"[" * depth + b"]" * depth + b"}}"


def log_lines(log, event):
    return [line for line in log if line.get("event") == event.number]


async def send_raw(fleet, raw, path="/v1/query", method="POST", **headers):
    host, port = fleet.instances["i0"].caller_server.address
    headers = {"Content-Type": JSON, **headers}
    async with fleet.http.request(
        method, f"http://{host}:{port}{path}", data=raw, headers=headers
    ) as resp:
        return resp.status, await resp.json()


async def check_requests_are_served(fleet):
    """Check that new requests are answered whole and that none remains in flight."""
    for name in fleet.instances:
        _status, answer = await fleet.query(name, deadline_ms=5000)
        assert answer["outcome"] == "whole"
        _status, booked = await fleet.book(name, await fleet.ticket("i0"))
        assert booked["outcome"] == "whole"
    instances = fleet.instances.values()
    await fleet.until(lambda: not any(i.caller_server.in_flight for i in instances))
    assert not any(i.queries.admission.running for i in instances)


BAD_BODIES = {
    "not JSON": (b"{", "bad_request"),
    "empty": (b"", "bad_request"),
    "not UTF-8": (b'{"caller": "\xe9", "query": {}}', "bad_request"),
    "lone surrogate": (b'{"caller": "\\uD800", "query": {}}', "bad_request"),
    "lone surrogate in a key": (b'{"caller": "a", "\\ud800": 1}', "bad_request"),
    "encoded lone surrogate": (
        b'{"caller": "\xed\xa0\x80", "query": {}}',
        "bad_request",
    ),
    "UTF-16": (
        '{"caller": "a", "query": {}}'.encode("utf-16"),
        "bad_request",
    ),
    "a list": (b"[]", "bad_request"),
    "a long number": (b'{"urgency": ' + b"9" * 9000 + b"}", "bad_request"),
    "unknown field": (encode_request(colour="red"), "bad_request"),
    "no query": (b'{"caller": "desk"}', "bad_request"),
    "query is a list": (encode_request(query=[]), "bad_request"),
    "caller is a number": (encode_request(caller=5), "bad_request"),
    "caller is empty": (encode_request(caller=""), "bad_request"),
    "labels are a list": (encode_request(labels=["a"]), "bad_request"),
    "a label is a number": (encode_request(labels={"a": 1}), "bad_request"),
    "a label is reserved": (encode_request(labels={"kind": "booking"}), "bad_request"),
    "urgency is a boolean": (encode_request(urgency=True), "bad_request"),
    "urgency is too high": (encode_request(urgency=10), "bad_request"),
    "deadline is zero": (encode_request(deadline_ms=0), "bad_request"),
    "deadline is negative": (encode_request(deadline_ms=-1), "bad_request"),
    "deadline is too long": (encode_request(deadline_ms=10**30), "bad_request"),
    "deadline is a fraction": (encode_request(deadline_ms=1.5), "bad_request"),
    "deadline is null": (encode_request(deadline_ms=None), "bad_request"),
    "deadline is a string": (encode_request(deadline_ms="100"), "bad_request"),
    "deeply nested": (nested_request(100_000), "bad_request"),
    "body over the limit": (
        encode_request(query={"a": "x" * 300_000}),
        "body_too_large",
    ),
    "no matching policy": (encode_request(labels={"team": "nobody"}), "no_policy"),
    "no matching service": (encode_request(labels={"team": "lost"}), "no_service"),
}


def publish_policies(fleet):
    content = fleet.publication()
    content["policies"] = {
        "all": {"services": "catalogue=racks", "selector": "!team"},
        "lost": {"services": "catalogue=none", "selector": "team=lost"},
    }
    fleet.platform.publish(content)


async def test_a_bad_request_is_rejected_and_logged_without_side_effects(fleet, log):
    # Guards against an untyped error, a request that hangs and a task that ends with
    # an exception.
    await fleet.start()
    publish_policies(fleet)
    instances = fleet.instances.values()
    await fleet.until(
        lambda: all(i.configuration.version.revision == 2 for i in instances)
    )
    for name, (raw, code) in BAD_BODIES.items():
        log.clear()
        status, error = await send_raw(fleet, raw)
        assert (error["code"], error["outcome"]) == (code, "not_run"), name
        assert 400 <= status < 500, name
        assert ": " in error["message"], name
        (line,) = log_lines(log, events.REQUEST_REJECTED)
        json.dumps(line, ensure_ascii=False, default=str).encode()
        assert (line["code"], line["request_id"]) == (code, error["request_id"])
    assert fleet.executions() == []
    await check_requests_are_served(fleet)


async def test_an_escaped_surrogate_pair_is_accepted(fleet):
    await fleet.start(instances=1)
    status, _answer = await send_raw(
        fleet, b'{"caller": "\\ud83d\\ude80", "query": {}}'
    )
    assert status == 200


async def test_wrong_headers_paths_and_methods_get_typed_errors(fleet, log):
    # Guards against plain-text errors from the HTTP library.
    await fleet.start()
    cases = [
        (
            await send_raw(fleet, encode_request(), **{"Content-Type": "text/plain"}),
            415,
        ),
        (await send_raw(fleet, b"no gzip", **{"Content-Encoding": "gzip"}), 400),
        (await send_raw(fleet, encode_request(), path="/v1/quarry"), 404),
        (await send_raw(fleet, None, method="GET"), 404),
    ]
    for (status, error), expected in cases:
        assert status == expected
        assert error["outcome"] == "not_run"
        assert ": " in error["message"]
    assert len(log_lines(log, events.REQUEST_REJECTED)) == len(cases)
    await check_requests_are_served(fleet)


async def test_a_forged_ticket_is_rejected(fleet):
    # Guards against running a booking for a ticket that no instance minted.
    await fleet.start()
    valid_ticket = await fleet.ticket("i0")
    forged = [
        valid_ticket[:-2] + ("AA" if valid_ticket[-2:] != "AA" else "BB"),
        "a.b.c",
        "\ud800",
        ".",
    ]
    for ticket in [*forged, valid_ticket.swapcase(), valid_ticket * 2]:
        for name in fleet.instances:
            status, error = await fleet.book(name, ticket)
            assert 400 <= status < 500
            assert error["outcome"] == "not_run"
            assert ": " in error["message"]
    for ticket in (None, 5, ["a"]):
        status, _error = await fleet.book("i0", ticket)
        assert status == 400
    status, error = await fleet.book("i0", "")
    assert (status, error["code"]) == (428, "ticket_required")
    assert fleet.executions("book") == []
    await check_requests_are_served(fleet)


async def test_a_body_that_never_arrives_times_out(fleet, log, monkeypatch):
    # Guards against a slow caller that occupies a connection indefinitely.
    monkeypatch.setattr(caller_server, "READ_TIMEOUT_S", 0.2)
    await fleet.start()
    host, port = fleet.instances["i0"].caller_server.address
    reader, writer = await asyncio.open_connection(host, port)
    head = f"POST /v1/query HTTP/1.1\r\nHost: {host}\r\nContent-Type: {JSON}\r\n"
    writer.write(f"{head}Content-Length: 100\r\n\r\n{{".encode())
    raw = await asyncio.wait_for(reader.read(4096), 5.0)
    writer.close()
    assert b'"outcome": "not_run"' in raw
    assert len(log_lines(log, events.REQUEST_REJECTED)) == 1
    await check_requests_are_served(fleet)


async def test_a_query_that_no_target_can_process_affects_no_other_request(fleet):
    # Guards against one caller's malformed query opening the circuit breakers of all
    # targets.
    await fleet.start()
    for number in range(8):
        bad = {"filter": number + 1, "order_by": {"a": 1}}
        _status, answer = await fleet.query(query=bad, deadline_ms=500)
        assert answer["outcome"] == "unknown"
    await check_requests_are_served(fleet)


async def test_an_internal_error_gets_a_typed_error(fleet, log, monkeypatch):
    # Guards against an answer without an outcome after an unexpected exception.
    await fleet.start()
    with monkeypatch.context() as patch:
        patch.setattr(fleet.instances["i0"].queries, "_run", None)
        status, error = await fleet.query()
    assert (status, error["outcome"], error["code"]) == (500, "unknown", "internal")
    assert len(log_lines(log, events.REQUEST_REJECTED)) == 1
    await check_requests_are_served(fleet)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = ("caller", "labels", "urgency", "deadline_ms", "query", "booking", "ticket")
DOCS = st.dictionaries(st.sampled_from((*FIELDS, "other")), JSON_VALUES) | st.builds(
    lambda key, value: {**QUERY, key: value}, st.sampled_from(FIELDS), JSON_VALUES
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(DOCS.map(lambda value: json.dumps(value).encode()) | st.binary(max_size=40))
def test_any_body_is_parsed_or_rejected_with_a_remedy(raw):
    # Guards against an untyped exception, during parsing or later.
    for parse in (parse_query, parse_booking):
        try:
            req = parse(JSON, raw)
        except RequestError as exc:
            assert exc.remedy
            assert error_doc("r", exc, has_ticket=True)["outcome"] == "not_run"
        else:
            # The fields of the request must be encodable in a log line.
            req.caller.encode()
            assert 1 <= req.deadline_ms <= 60_000 or req.deadline_ms == 0
            assert 0 <= req.urgency <= 9
            assert Quarantine(ManualClock(), b"key").fingerprint(("a",), req.body)
            json.dumps({"query": req.body}).encode()


# Peers.


async def send_peer_frames(fleet, *frames):
    """Send frames on a raw peer connection and wait until the instance closes it."""
    host, port = fleet.instances["i0"].peers.address
    async with connect(f"ws://{host}:{port}", compression=None, proxy=None) as ws:
        for frame in frames:
            await ws.send(frame)
        try:
            async with asyncio.timeout(5.0):
                while True:
                    await ws.recv()
        except ConnectionClosed:
            pass


async def test_bad_handshakes_are_refused_and_logged_without_side_effects(fleet, log):
    # Guards against unauthenticated connections that stop the peer server.
    await fleet.start()
    address = ("127.0.0.1", 9)
    unknown_version = Hello((99,), os.urandom(32), "x", "bne-1", 1, address)
    frames = [b"\xff\xff", cbor2.dumps({"type": 5}), "text", encode(unknown_version)]
    for number, frame in enumerate(frames, start=1):
        await send_peer_frames(fleet, frame)
        assert len(log_lines(log, events.HANDSHAKE_REFUSED)) == number
    host, port = fleet.instances["i0"].peers.address
    stranger = Identity("x", "bne-1", 1)
    wrong_credentials = Credentials(b"another key", VERSIONS, stranger, address)
    async with connect(f"ws://{host}:{port}", compression=None, proxy=None) as ws:
        with pytest.raises(HandshakeError):
            await connect_handshake(ws, wrong_credentials)
    await check_requests_are_served(fleet)


async def test_malformed_frames_of_a_peer_are_counted_without_side_effects(fleet, log):
    # Guards against a malformed frame that ends the connection or its reader task.
    await fleet.start()
    peers = fleet.instances["i0"].peers
    key, identity = peers.cfg.fleet_key.encode(), Identity("x", "bne-1", 1)
    credentials = Credentials(key, VERSIONS, identity, ("127.0.0.1", 9))
    host, port = peers.address
    bodies = [b"\xff", cbor2.dumps([]), cbor2.dumps({"type": "?"}), b""]
    async with connect(f"ws://{host}:{port}", compression=None, proxy=None) as ws:
        await connect_handshake(ws, credentials)
        for body in bodies:
            await ws.send(body)
        counts = peers.counts
        await fleet.until(lambda: counts.malformed + counts.unknown >= len(bodies))
        assert log_lines(log, events.FRAME_MALFORMED)
        await check_requests_are_served(fleet)


# Configuration.

INVALID_CHANGES = {
    "unknown key": {"colour": {}},
    "not an object": {"services": 5},
    "invalid selector": {"policies": {"all": {"services": "=="}}},
    "unknown target": {
        "services": {
            "racks": {
                "index_version": "v1",
                "generation": 1,
                "shards": {"s0": ["nobody"]},
            }
        }
    },
    "invalid address": {"targets": {"t0": {"address": "here", "data_centre": "bne-1"}}},
}


def refused_revisions(log):
    return {line["revision"] for line in log_lines(log, events.CONFIG_REFUSED)}


async def test_an_invalid_publication_is_logged_and_not_applied(fleet, log):
    # Guards against an invalid publication that interrupts queries or blocks the next
    # valid one.
    await fleet.start()
    instances = fleet.instances.values()
    for number, change in enumerate(INVALID_CHANGES.values(), start=1):
        fleet.platform.publish({**fleet.publication(), **change})
        await fleet.until(lambda n=number: len(refused_revisions(log)) >= n)
        await check_requests_are_served(fleet)
        assert {i.configuration.version.revision for i in instances} == {1}
    revision = fleet.platform.publish(fleet.publication())
    await fleet.until(
        lambda: all(i.configuration.version.revision == revision for i in instances)
    )
    await check_requests_are_served(fleet)
