"""The subcommand that shows where a gateway would send a request now."""

from __future__ import annotations

import argparse
import http.client
import json
import urllib.parse
from collections.abc import Iterator
from typing import Any

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import (
    GatewayAnswerError,
    GatewayUnreachableError,
    UserError,
)

TIMEOUT_S = 5.0

TOO_OLD_REMEDY = "name the metrics address of a gateway of this build or a later one"


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "route-now", help="show where a request would go now, without sending it"
    )
    parser.add_argument("address", help="the gateway's metrics address, IP:PORT")
    parser.add_argument("--host", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--deadline_ms", type=int, help="the caller's deadline")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Print where the request would go."""
    fields = {"host": args.host, "path": args.path, "method": args.method}
    if args.deadline_ms is not None:
        fields["deadline_ms"] = args.deadline_ms
    preview = fetch_preview(_parse_address(args.address), fields)
    try:
        lines = list(format_preview(preview))
    except (KeyError, IndexError, TypeError) as exc:
        raise GatewayAnswerError(
            "the gateway answers in the format of another build", TOO_OLD_REMEDY
        ) from exc
    print("\n".join(lines))
    return 0


def _parse_address(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as exc:
        raise UserError(f"{text!r} is not an address", "write IP:PORT") from exc


def fetch_preview(address: Address, fields: dict[str, Any]) -> dict[str, Any]:
    """Return the answer of the gateway at a metrics address."""
    conn = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        conn.request("GET", f"/route?{urllib.parse.urlencode(fields)}")
        response = conn.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as exc:
        raise GatewayUnreachableError(
            f"{address[0]}:{address[1]} gave no answer ({exc})",
            "check that the gateway runs and serves metrics at this address",
        ) from exc
    finally:
        conn.close()
    if response.status == 400:
        raise UserError(
            "the gateway takes the request for malformed",
            "check the host, the path and the deadline",
        )
    if response.status != 200 or response.getheader("Content-Type") != (
        "application/json"
    ):
        raise GatewayAnswerError(
            "the gateway does not tell where requests go", TOO_OLD_REMEDY
        )
    try:
        return json.loads(body)
    except ValueError as exc:
        raise GatewayAnswerError("the answer is not JSON", TOO_OLD_REMEDY) from exc


def format_preview(preview: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that describe the answer of a gateway."""
    yield _format_decision(preview)
    if preview["route"]:
        age_s = preview["age_s"]
        age = "not confirmed" if age_s is None else f"confirmed {age_s} s ago"
        yield (
            f"route {preview['route']}, version {preview['version']} ({age}), "
            f"priority {preview['priority']}"
        )
    for room in preview["room"]:
        yield _format_room(room)
    if preview["shards"]:
        yield (
            f"{preview['shards']} shards, {preview['needed_shards']} needed, "
            f"{preview['shards_without_target']} without a target"
        )
    for service in preview["services"]:
        yield from _format_service(service)
    if preview["other_shards"]:
        yield f"{preview['other_shards']} other shards"


def _format_decision(preview: dict[str, Any]) -> str:
    reason = preview["reason"]
    if preview["decision"] == "refused":
        return f"would be refused with {preview['status']}, not run: {reason}"
    if preview["decision"] == "delegated":
        names = ", ".join(preview["instances"])
        return f"would run at another instance, one of {names}: {reason}"
    return "would run at this instance"


def _format_room(room: dict[str, Any]) -> str:
    limit = "no limit" if room["limit_ms"] is None else f"limit {room['limit_ms']} ms"
    name = room["first_service"]
    if room["services"] > 1:
        name += f" and {room['services'] - 1} more"
    state = (
        f"room of {name}: {limit}, running {room['running_ms']} ms, "
        f"{room['waiting']} waiting, work of the request {room['work_ms']} ms"
    )
    if room["refused"]:
        return f"{state}; refused: {room['refused']}"
    if not room["waits"]:
        return f"{state}; starts at once"
    state += f"; would wait {room['predicted_wait_ms']} ms"
    if room["displaced"]:
        state += f", displacing request {room['displaced']}"
    return f"{state}, probably refused later: {room['late']}" if room["late"] else state


def _format_service(service: dict[str, Any]) -> Iterator[str]:
    share = "" if service["share"] == 1 else f" ({service['share']:.0%} of requests)"
    targets = service["targets"]
    yield f"service {service['name']}{share}" + ("" if targets else ": no targets")
    for number, target in enumerate(targets, 1):
        withheld = target["withheld_by"]
        text = (
            f"  {'-' if withheld else number} {target['id']} in "
            f"{target['data_centre']}: expected {target['expected_ms']} ms, "
            f"{target['in_flight']} of {target['slots']} slots in use"
        )
        if target["cold_ms"]:
            text += f", cold for {target['cold_ms']} ms"
        if not target["can_connect"]:
            text += ", no connection free"
        yield text + (f", withheld: {', '.join(withheld)}" if withheld else "")
    if service["other_targets"]:
        yield f"  {service['other_targets']} other targets"
