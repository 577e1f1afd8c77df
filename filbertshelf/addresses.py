"""Parsing of IP:PORT addresses."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]
"""An IP address and a port."""

MAX_PORT = 65_535


def parse_address(text: str, lowest_port: int = 1) -> Address:
    """Return the address in a text of the form IP:PORT.

    A `lowest_port` of 0 also allows port 0, which means any free port. Raises
    `ValueError` if the text is malformed.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()):
        raise ValueError("the port is not a number")
    port_number = int(port)
    if not lowest_port <= port_number <= MAX_PORT:
        raise ValueError("the port is out of range")
    return host, port_number
