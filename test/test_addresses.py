"""Addresses as settings, publications and entries write them."""

from __future__ import annotations

import pytest

from filbertshelf.addresses import parse_address


def test_an_address_is_an_ip_and_a_port():
    assert parse_address("10.1.0.9:8104") == ("10.1.0.9", 8104)


def test_port_zero_is_allowed_where_any_free_one_is_meant():
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
def test_anything_else_is_refused(text):
    # Guards against names, which would need a lookup, and against what int() takes.
    with pytest.raises(ValueError):
        parse_address(text)
