"""Decoding of the store's content, including malformed entries of other writers."""

from __future__ import annotations

import json

import pytest

from filbertshelf.errors import PlatformContentError
from filbertshelf.platform.entries import decode_route_table, decode_target
from filbertshelf.state.routing import Repeat, WeightedService

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "qld-south-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
    "born": 1768766353410,
}
ROUTE = {
    "name": "r-1",
    "host": "pupu76.example",
    "prefix": "/bapu561/",
    "kind": "safe",
    "timeoutMs": 400,
    "targetLatencyMs": 71,
    "priority": 2,
    "gather": ["a", "b"],
    "maxAttempts": 2,
    "topK": 5,
    "minCoverage": 0.75,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "a", "healthPath": "/health", "maxConns": 58, "protocol": "h1"}
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "idleTimeoutMs": 15000},
}


def encode(doc: object) -> bytes:
    return json.dumps(doc).encode()


def test_an_entry_is_decoded_to_a_target():
    target = decode_target("i-1", encode({**ENTRY, "state": "draining", "new": [1]}))
    assert (target.id, target.service, target.slots) == ("i-1", "huvo11a", 2)
    assert target.draining
    assert target.started_ms == 1768766353410


@pytest.mark.parametrize("name", ["service", "address", "zone", "state"])
@pytest.mark.parametrize("value", [None, 7, "", [], {"a": 1}])
def test_an_entry_with_a_malformed_field_is_refused(name, value):
    # Guards against creating a target from an entry that another process wrote.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", encode({**ENTRY, name: value}))


@pytest.mark.parametrize("name", ["service", "zone"])
def test_an_entry_with_a_lone_surrogate_is_refused(name):
    # JSON allows a lone surrogate, which can't be encoded as UTF-8. Guards against
    # updates that can't be sent to peers and log lines that can't be written.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", encode({**ENTRY, name: "half \ud800"}))


@pytest.mark.parametrize("name", ["version", "coldRemainingMs", "seq"])
@pytest.mark.parametrize("value", [[], {"a": 1}, None, True])
def test_an_entry_with_a_malformed_unused_field_is_refused(name, value):
    # Guards against creating a target from an entry that another process wrote.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", encode({**ENTRY, name: value}))


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "melting"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"address": "host.example:80"},
        {"slots": "2"},
        {"slots": -1},
        {"born": 17.5},
        {"born": "now"},
        {"born": True},
    ],
)
def test_an_entry_with_an_invalid_value_is_refused(changes):
    with pytest.raises(PlatformContentError):
        decode_target("i-1", encode({**ENTRY, **changes}))


@pytest.mark.parametrize(
    "raw", [b"", b"\xff\xfe", b"[1]", b"nil", b'{"a":', b"[" * 9999]
)
def test_bytes_that_are_not_an_entry_are_refused(raw):
    with pytest.raises(PlatformContentError):
        decode_target("i-1", raw)


def test_a_route_over_shards_is_decoded():
    table = decode_route_table(encode(CONFIG))
    route = table.match("pupu76.example", "/bapu561/2f")
    assert table.version == 7
    assert route.gather.shards == ("a", "b")
    assert (route.gather.top_k, route.gather.min_coverage) == (5, 0.75)
    assert (route.timeout_s, route.latency_objective_s, route.max_attempts) == (
        0.4,
        0.071,
        2,
    )
    assert route.repeat is Repeat.IDEMPOTENT
    assert table.services["a"].connections == 58
    assert table.limits.idle_timeout_s == 15.0


def test_a_route_over_weighted_services_is_decoded():
    backends = [{"service": "a", "weight": 70}, {"service": "b", "weight": 30}]
    route = {k: v for k, v in ROUTE.items() if k != "gather"}
    route = {**route, "kind": "unsafe", "backends": backends}
    table = decode_route_table(encode({**CONFIG, "routes": [route]}))
    (decoded,) = table.routes()
    assert decoded.weighted_services == (
        WeightedService("a", 70.0),
        WeightedService("b", 30.0),
    )
    assert decoded.repeat is Repeat.ONCE


@pytest.mark.parametrize(
    "changes",
    [
        {"version": None},
        {"version": "7"},
        {"routes": [{**ROUTE, "kind": "sometimes"}]},
        {"routes": [{**ROUTE, "timeoutMs": "soon"}]},
        {"routes": ["r-1"]},
        {"routes": 5},
        {"services": [{"name": "a"}]},
        {"limits": [1]},
    ],
)
def test_a_configuration_with_a_malformed_part_is_refused(changes):
    # Guards against serving only the valid part of a configuration.
    with pytest.raises(PlatformContentError):
        decode_route_table(encode({**CONFIG, **changes}))
