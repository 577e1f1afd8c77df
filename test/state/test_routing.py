"""Matching of routes by host and prefix, and the choice among weighted services."""

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
    ("host", "path", "expected"),
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
def test_the_longest_prefix_of_the_host_wins(host, path, expected):
    route = table(("a", "/x/"), ("a", "/x/y/"), ("c", "/x/")).match(host, path)
    assert (route.name if route else None) == expected


def test_each_short_run_of_requests_follows_the_weights():
    # Guards against services without requests for a while, as with random numbers.
    services = (
        WeightedService("one", 70),
        WeightedService("two", 20),
        WeightedService("three", 10),
    )
    sequence = WeightedServiceSequence(0.3)
    for _ in range(20):
        counts = collections.Counter(
            sequence.next_service(services).service for _ in range(50)
        )
        assert abs(counts["one"] - 35) <= 2
        assert abs(counts["two"] - 10) <= 2
        assert abs(counts["three"] - 5) <= 2


def test_a_service_with_weight_zero_gets_no_requests():
    services = (WeightedService("one", 0), WeightedService("two", 5))
    sequence = WeightedServiceSequence(0.0)
    assert {sequence.next_service(services).service for _ in range(100)} == {"two"}
