"""Parsing of the addresses in settings, publications and entries."""

from __future__ import annotations

import pytest

from filbertshelf.addresses import parse_address


def test_an_ip_and_a_port_are_parsed():
    assert parse_address("10.1.0.9:8104") == ("10.1.0.9", 8104)


def test_port_zero_is_allowed_if_the_lowest_port_is_zero():
    assert parse_address("127.0.0.1:0", lowest_port=0) == ("127.0.0.1", 0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "10.1.0.9",
        "10.1.0.9:",
        "10.1.0.9:0",
        "10.1.0.9:65536",
        "10.1.0.9:-1",
        "10.1.0.9: 80",
        "10.1.0.9:8_0",
        "10.1.0.9:\uff18\uff10",
        "10.1.0.256:80",
        "host:80",
        "\ud800:80",
    ],
)
def test_malformed_addresses_are_refused(text):
    # Guards against host names, which would need a lookup, and against port texts that
    # int() accepts but that are not plain digits.
    with pytest.raises(ValueError):
        parse_address(text)
