"""Decoding of the store's content, including malformed entries of other writers."""

from __future__ import annotations

import json

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertshelf.errors import PlatformContentError
from filbertshelf.platform.entries import decode_route_table, decode_target
from filbertshelf.protocol import messages
from filbertshelf.protocol.feed import FeedUpdate, HeldConfig
from filbertshelf.protocol.messages import decode
from filbertshelf.state.directory import DirectoryChange, TargetChange
from filbertshelf.state.platform_update import PlatformUpdate
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


def test_the_cold_time_of_an_entry_is_decoded():
    target = decode_target("i-1", encode({**ENTRY, "coldRemainingMs": 2500}))
    assert target.cold_s == 2.5


def test_the_cold_start_and_rate_of_a_service_are_optional():
    # Guards against a limit where the configuration names none.
    service = decode_route_table(encode(CONFIG)).services["a"]
    assert (service.cold_start_s, service.cold_requests_per_s) == (0.0, 0.0)
    named = {**CONFIG["services"][0], "coldStartS": 20, "coldPerS": 4.5}
    service = decode_route_table(encode({**CONFIG, "services": [named]})).services["a"]
    assert (service.cold_start_s, service.cold_requests_per_s) == (20.0, 4.5)


@pytest.mark.parametrize("name", ["coldStartS", "coldPerS"])
@pytest.mark.parametrize("value", ["4", -1, True, []])
def test_a_malformed_cold_start_or_rate_is_refused(name, value):
    # Guards against a configuration in force whose cold targets have no limit.
    service = {**CONFIG["services"][0], name: value}
    with pytest.raises(PlatformContentError):
        decode_route_table(encode({**CONFIG, "services": [service]}))


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


OUT_OF_RANGE = [
    pytest.param("9" * 400, id="400 digits"),
    *("1e999", "-1e999", "NaN", "Infinity", "-1"),
]
"""JSON numbers that no field can hold; some exceed every common type of number."""


def with_number(doc: dict, name: str, number: str) -> bytes:
    """Return the document with a number as it is written in JSON."""
    return encode({**doc, name: "@"}).replace(b'"@"', number.encode())


@pytest.mark.parametrize("number", OUT_OF_RANGE)
@pytest.mark.parametrize("name", ["slots", "coldRemainingMs", "seq", "born"])
def test_an_entry_with_a_number_out_of_range_is_refused(name, number):
    # Guards against an entry of another writer that ends every gateway: a number of 400
    # digits raised an error that nothing expected.
    with pytest.raises(PlatformContentError):
        decode_target("i-1", with_number(ENTRY, name, number))


@pytest.mark.parametrize("number", OUT_OF_RANGE)
@pytest.mark.parametrize(
    "name",
    ["timeoutMs", "targetLatencyMs", "priority", "maxAttempts", "topK", "minCoverage"],
)
def test_a_route_with_a_number_out_of_range_is_refused(name, number):
    route = with_number(ROUTE, name, number)
    text = encode({**CONFIG, "routes": ["@"]}).replace(b'"@"', route)
    with pytest.raises(PlatformContentError):
        decode_route_table(text)


@pytest.mark.parametrize("number", OUT_OF_RANGE)
def test_a_configuration_with_a_version_out_of_range_is_refused(number):
    with pytest.raises(PlatformContentError):
        decode_route_table(with_number(CONFIG, "version", number))


numbers = (
    st.integers() | st.integers(min_value=10**300, max_value=10**400) | st.floats()
)
json_values = st.recursive(
    st.none() | st.booleans() | numbers | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=6,
)


def changed_fields(doc: dict) -> st.SearchStrategy[dict]:
    """Return a strategy for the document with any values in some of its fields."""
    numeric = sorted(name for name, value in doc.items() if type(value) in (int, float))
    any_fields = st.dictionaries(st.sampled_from(sorted(doc)), json_values, max_size=3)
    if not numeric:
        return any_fields.map(lambda changes: {**doc, **changes})
    number_fields = st.dictionaries(st.sampled_from(numeric), numbers, max_size=2)
    return st.tuples(any_fields, number_fields).map(
        lambda changes: {**doc, **changes[0], **changes[1]}
    )


@given(changed_fields(ENTRY))
def test_an_entry_with_any_values_is_a_target_in_bounds_or_refused(doc):
    # Guards against errors of other types, and against values that later code, the
    # log or the messages to peers can't handle.
    try:
        target = decode_target("i-1", encode(doc))
    except PlatformContentError:
        return
    change = TargetChange("i-1", 1, target)
    update = PlatformUpdate(DirectoryChange(0, 1, (change,)), None)
    msg = decode(messages.encode(FeedUpdate.of(update, HeldConfig(), 0.0, False)))
    assert msg.message.update().directory.targets == (change,)
    orjson.dumps(attrs.asdict(target))


@given(changed_fields(ROUTE), changed_fields(CONFIG["services"][0]))
def test_a_configuration_with_any_values_is_a_table_or_refused(route, service):
    # Guards against a configuration that ends the gateways while it is decoded or used.
    doc = {**CONFIG, "routes": [route], "services": [service]}
    try:
        table = decode_route_table(encode(doc))
    except PlatformContentError:
        return
    table.match("pupu76.example", "/bapu561/2f")
    orjson.dumps([attrs.asdict(item) for item in table.services.values()])


@pytest.mark.parametrize(
    ("value", "expected"),
    [(["qld", "nsw"], {"qld", "nsw"}), ([], set()), (None, set())],
)
def test_the_allowed_regions_of_a_route_are_decoded(value, expected):
    table = decode_route_table(
        encode({**CONFIG, "routes": [{**ROUTE, "allowedRegions": value}]})
    )
    (route,) = table.routes()
    assert route.allowed_regions == expected


@pytest.mark.parametrize("value", ["qld", [7], [""], {"qld": 1}, 0, False])
def test_malformed_allowed_regions_are_refused(value):
    # Guards against a route whose limit is dropped because it can't be read.
    with pytest.raises(PlatformContentError):
        decode_route_table(
            encode({**CONFIG, "routes": [{**ROUTE, "allowedRegions": value}]})
        )
