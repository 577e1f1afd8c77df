"""Routes by host and prefix, and the shares of weighted services."""

from __future__ import annotations

import collections

import pytest

from filbertshelf.state.routing import (
    Limits,
    Repeat,
    Route,
    RouteTable,
    WeightedService,
    WeightedServiceSequence,
)


def table(*pairs: tuple[str, str]) -> RouteTable:
    routes = [
        Route(f"{host}{prefix}", host, prefix, Repeat.ONCE, 1.0, 0.1, 1, 0)
        for host, prefix in pairs
    ]
    return RouteTable.build(1, routes, [], Limits())


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("a", "/x/1", "a/x/"),
        ("a", "/x/y/1", "a/x/y/"),
        ("A", "/x/1", "a/x/"),
        ("a:80", "/x/1", "a/x/"),
        ("a", "/x", None),
        ("a", "/xy/1", None),
        ("b", "/x/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, found):
    route = table(("a", "/x/"), ("a", "/x/y/"), ("c", "/x/")).match(host, path)
    assert (route.name if route else None) == found


def test_each_short_run_of_requests_is_close_to_the_weights():
    # Guards against a part that gets nothing for a while, as with random numbers.
    shares = (
        WeightedService("one", 70),
        WeightedService("two", 20),
        WeightedService("three", 10),
    )
    sequence = WeightedServiceSequence(0.3)
    for _ in range(20):
        got = collections.Counter(
            sequence.next_service(shares).service for _ in range(50)
        )
        assert abs(got["one"] - 35) <= 2
        assert abs(got["two"] - 10) <= 2
        assert abs(got["three"] - 5) <= 2


def test_a_weight_of_zero_gets_nothing():
    shares = (WeightedService("one", 0), WeightedService("two", 5))
    sequence = WeightedServiceSequence(0.0)
    assert {sequence.next_service(shares).service for _ in range(100)} == {"two"}
