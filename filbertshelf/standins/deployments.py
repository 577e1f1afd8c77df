"""The profiles of the two deployments, Hatstand and Quitanieves."""

from __future__ import annotations

from collections.abc import Mapping

from filbertshelf.standins.profiles import (
    Profile,
    RequestKind,
    ServiceGroup,
    make_policy,
    make_query,
)

HATSTAND = Profile(
    name="hatstand",
    data_centres=("bne-1", "bne-2", "bne-3"),
    one_way_ms=1.5,
    client_one_way_ms=3.0,
    instances=20,
    overlap=4,
    groups=(
        ServiceGroup(
            name="quote",
            services=50,
            leaves=2,
            slots=2,
            connections=60,
            connection_cost_ms=6.0,
            shards=1,
            replicas=2,
            service_ms=20.0,
            labels=(
                {"desk": "quote", "catalogue": "racks", "brand": "pegline"},
                {"desk": "quote", "catalogue": "stands", "brand": "coastal"},
                {"desk": "quote", "catalogue": "racks", "brand": "rackworks"},
                {"desk": "invoice", "catalogue": "stands", "brand": "pegline"},
                {"desk": "quote", "catalogue": "racks", "brand": "coastal"},
            ),
            scales_with_fleet=True,
        ),
        ServiceGroup(
            name="counter",
            services=2,
            leaves=3,
            slots=6,
            connections=250,
            connection_cost_ms=1.0,
            shards=3,
            replicas=2,
            service_ms=8.0,
            labels=({"desk": "counter"}, {"desk": "vans"}),
            scales_with_fleet=False,
        ),
    ),
    policies={
        "quote-desk": make_policy("desk=quote", "desk=quote", "coverage", 2_000),
        "swap-line": make_policy(
            "desk=swap", "desk=quote, catalogue=racks", "coverage", 1_000
        ),
        "invoices": make_policy(
            "desk=invoice", "desk in (quote, invoice)", "coverage", 4_000
        ),
        "counter": make_policy("desk=counter", "desk=counter", "coverage", 800),
        "vans": make_policy("desk=vans", "desk=vans", "coverage", 1_500, hedge=False),
    },
    requests=(
        RequestKind(
            name="quote",
            weight=0.5,
            callers=("quote-anna", "quote-ben", "quote-chloe"),
            labels={"desk": "quote", "catalogue": "racks"},
            urgency=5,
            deadline_ms=2_000,
            query=make_query(state="free"),
        ),
        RequestKind(
            name="swap",
            weight=0.2,
            callers=("swap-line-1", "swap-line-2"),
            labels={"desk": "swap", "catalogue": "racks"},
            urgency=9,
            deadline_ms=1_000,
            query=make_query(state="free", depot="depot-1"),
        ),
        RequestKind(
            name="counter",
            weight=0.2,
            callers=("counter-1", "counter-2"),
            labels={"desk": "counter"},
            urgency=6,
            deadline_ms=800,
            query={"order_by": "id", "limit": 1},
        ),
        RequestKind(
            name="invoice",
            weight=0.1,
            callers=("month-end",),
            labels={"desk": "invoice"},
            urgency=1,
            deadline_ms=4_000,
            query=make_query(state="booked"),
        ),
    ),
)

QUITANIEVES = Profile(
    name="quitanieves",
    data_centres=("bog-1", "bog-2", "bog-3"),
    one_way_ms=0.5,
    client_one_way_ms=1.0,
    instances=20,
    overlap=4,
    groups=(
        ServiceGroup(
            name="dispatch",
            services=50,
            leaves=2,
            slots=2,
            connections=60,
            connection_cost_ms=6.0,
            shards=1,
            replicas=2,
            service_ms=20.0,
            labels=(
                {"app": "dispatch", "holds": "shifts"},
                {"app": "dispatch", "holds": "routes"},
                {"app": "dispatch", "holds": "drivers"},
                {"app": "dispatch", "holds": "drivers"},
                {"app": "payroll", "holds": "shifts"},
            ),
            scales_with_fleet=True,
        ),
        ServiceGroup(
            name="in-cab",
            services=1,
            leaves=4,
            slots=3,
            connections=90,
            connection_cost_ms=1.0,
            shards=4,
            replicas=2,
            service_ms=8.0,
            labels=({"app": "in-cab"},),
            scales_with_fleet=False,
        ),
        ServiceGroup(
            name="compliance",
            services=1,
            leaves=3,
            slots=3,
            connections=90,
            connection_cost_ms=1.0,
            shards=3,
            replicas=2,
            service_ms=8.0,
            labels=({"app": "compliance"},),
            scales_with_fleet=False,
        ),
    ),
    policies={
        "dispatch": make_policy(
            "app=dispatch", "app=dispatch", "tail", 1_000, partial_after_ms=250
        ),
        "relief-drivers": make_policy(
            "app=dispatch, need=driver",
            "app=dispatch, holds=drivers",
            "tail",
            800,
            partial_after_ms=200,
        ),
        "in-cab": make_policy(
            "app=in-cab", "app=in-cab", "tail", 500, partial_after_ms=150
        ),
        "compliance": make_policy(
            "app=compliance", "app=compliance", "tail", 2_000, partial_after_ms=800
        ),
        "payroll": make_policy(
            "app=payroll",
            "app in (dispatch, payroll)",
            "tail",
            3_000,
            partial_after_ms=1_500,
            hedge=False,
        ),
    },
    requests=(
        RequestKind(
            name="shift-search",
            weight=0.45,
            callers=("dispatcher-1", "dispatcher-2", "dispatcher-3"),
            labels={"app": "dispatch"},
            urgency=6,
            deadline_ms=1_000,
            query=make_query(state="free"),
        ),
        RequestKind(
            name="relief-driver",
            weight=0.2,
            callers=("dispatcher-1", "dispatcher-4"),
            labels={"app": "dispatch", "need": "driver"},
            urgency=9,
            deadline_ms=800,
            query=make_query(state="free"),
        ),
        RequestKind(
            name="driver",
            weight=0.2,
            callers=("cab-07", "cab-12"),
            labels={"app": "in-cab"},
            urgency=7,
            deadline_ms=500,
            query={"order_by": "id", "limit": 5},
        ),
        RequestKind(
            name="clerk",
            weight=0.05,
            callers=("clerk-1",),
            labels={"app": "compliance"},
            urgency=3,
            deadline_ms=2_000,
            query=make_query(),
        ),
        RequestKind(
            name="payroll",
            weight=0.1,
            callers=("month-end",),
            labels={"app": "payroll"},
            urgency=1,
            deadline_ms=3_000,
            query=make_query(state="booked"),
        ),
    ),
)

PROFILES: Mapping[str, Profile] = {
    profile.name: profile for profile in (HATSTAND, QUITANIEVES)
}
