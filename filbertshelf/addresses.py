"""Addresses of the form IP:PORT."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]
"""An IP address and a port."""

MAX_PORT = 65_535


def parse_address(text: str, lowest_port: int = 1) -> Address:
    """Return the address in a text; raises `ValueError`.

    A `lowest_port` of 0 allows the port that stands for any free one.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()):
        raise ValueError("the port is not a number")
    number = int(port)
    if not lowest_port <= number <= MAX_PORT:
        raise ValueError("the port is out of range")
    return host, number
