"""Decoding what the platform's store holds, also from writers that err."""

from __future__ import annotations

import json

import pytest

from filbertshelf.errors import PlatformContentError
from filbertshelf.platform.entries import decode_route_table, decode_target
from filbertshelf.state.routing import Repeat, Share

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


def text(doc: object) -> bytes:
    return json.dumps(doc).encode()


def test_an_entry_names_a_target():
    found = decode_target("i-1", text({**ENTRY, "state": "draining", "new": [1]}))
    assert (found.id, found.service, found.slots) == ("i-1", "huvo11a", 2)
    assert found.draining
    assert found.started_ms == 1768766353410


@pytest.mark.parametrize("name", ["service", "address", "zone", "state"])
@pytest.mark.parametrize("value", [None, 7, "", [], {"a": 1}])
def test_an_entry_with_a_broken_field_names_none(name, value):
    # Guards against a target made from what another writer left in the store.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", text({**ENTRY, name: value}))


@pytest.mark.parametrize("name", ["service", "zone"])
def test_an_entry_with_text_that_has_no_utf8_form_names_none(name):
    # Guards against news that can't be sent to any peer, and against log lines that
    # can't be written: JSON allows half of a surrogate pair.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", text({**ENTRY, name: "half \ud800"}))


@pytest.mark.parametrize("name", ["version", "coldRemainingMs", "seq"])
@pytest.mark.parametrize("value", [[], {"a": 1}, None, True])
def test_an_entry_with_a_broken_field_that_is_not_used_names_none(name, value):
    # Guards against a target made from an entry that another writer left.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", text({**ENTRY, name: value}))


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
def test_an_entry_with_an_impossible_value_names_none(changes):
    with pytest.raises(PlatformContentError):
        decode_target("i-1", text({**ENTRY, **changes}))


@pytest.mark.parametrize(
    "raw", [b"", b"\xff\xfe", b"[1]", b"nil", b'{"a":', b"[" * 9999]
)
def test_bytes_that_are_no_entry_name_none(raw):
    with pytest.raises(PlatformContentError):
        decode_target("i-1", raw)


def test_a_route_over_shards_is_decoded():
    table = decode_route_table(text(CONFIG))
    route = table.match("pupu76.example", "/bapu561/2f")
    assert table.version == 7
    assert route.gather.shards == ("a", "b")
    assert (route.gather.top, route.gather.min_coverage) == (5, 0.75)
    assert (route.timeout_s, route.aim_s, route.max_attempts) == (0.4, 0.071, 2)
    assert route.repeat is Repeat.IDEMPOTENT
    assert table.services["a"].connections == 58
    assert table.limits.idle_timeout_s == 15.0


def test_a_route_over_weighted_services_is_decoded():
    parts = [{"service": "a", "weight": 70}, {"service": "b", "weight": 30}]
    route = {k: v for k, v in ROUTE.items() if k != "gather"}
    route = {**route, "kind": "unsafe", "backends": parts}
    table = decode_route_table(text({**CONFIG, "routes": [route]}))
    (found,) = table.routes()
    assert found.shares == (Share("a", 70.0), Share("b", 30.0))
    assert found.repeat is Repeat.ONCE


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
def test_a_malformed_configuration_is_refused_whole(changes):
    # Guards against serving half of a configuration.
    with pytest.raises(PlatformContentError):
        decode_route_table(text({**CONFIG, **changes}))
