"""The client of the platform's store, against a stand-in that simulates faults."""

from __future__ import annotations

import json

import orjson
import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.errors import HistoryLostError, PlatformContentError, PlatformError
from filbertshelf.platform import store as module
from filbertshelf.platform.store import StoreClient
from filbertshelf.protocol.http_messages import Response
from test.platform.store_standin import StoreStandin
from test.platform.test_entries import CONFIG, ENTRY


@pytest.fixture
def store():
    """Return a store with a configuration and three targets."""
    standin = StoreStandin()
    for name in "abc":
        standin.put(f"servers/i-{name}", ENTRY)
    standin.put("op/config", CONFIG)
    return standin


@pytest.fixture
async def client(store):
    """Return a client that is connected to the store."""
    server = store.make_server()
    await server.start()
    store_client = StoreClient(server.address, SystemClock())
    yield store_client
    store_client.close()
    await server.stop()


async def test_all_pages_are_read(store, client):
    update = await client.snapshot()
    assert [change.id for change in update.directory.targets] == ["i-a", "i-b", "i-c"]
    assert update.directory.since == 0
    assert update.directory.revision == store.revision
    assert update.config.revision == 5
    assert len(store.calls) == 2


async def test_changes_continue_from_the_revision(store, client):
    before = (await client.snapshot()).directory.revision
    store.delete("servers/i-b")
    store.put("servers/i-a", {**ENTRY, "state": "draining"})
    update = await client.changes(before)
    gone, changed = sorted(update.directory.targets, key=lambda c: c.target is not None)
    assert (gone.id, gone.target) == ("i-b", None)
    assert changed.target.draining
    assert update.config is None
    assert (update.directory.since, update.directory.revision) == (
        before,
        store.revision,
    )


async def test_a_malformed_entry_is_logged_and_counts_as_no_target(store, client, log):
    # Guards against one malformed entry that hides all others.
    store.put("servers/i-b", b"\xff\x00")
    store.items["servers/i-c"]["value"] = "not base64!"
    update = await client.snapshot()
    assert [c.id for c in update.directory.targets if c.target] == ["i-a"]
    assert [line["key"] for line in log if line["event"] == 413] == [
        "servers/i-b",
        "servers/i-c",
    ]


async def test_changes_that_are_no_longer_kept_raise_history_lost(store, client):
    store.compacted_revision = 100
    with pytest.raises(HistoryLostError):
        await client.changes(5)


@pytest.mark.parametrize("fault", ["503", "429", "silent"])
async def test_a_failing_store_raises_and_the_next_call_succeeds(
    store, client, fault, monkeypatch
):
    monkeypatch.setattr(module, "CALL_TIMEOUT_S", 0.2)
    store.fault = fault
    with pytest.raises(PlatformError):
        await client.snapshot()
    store.fault = ""
    # Guards against mistaking a late answer for the answer to the next call.
    assert (await client.snapshot()).config is not None


async def test_a_deleted_configuration_is_returned_as_none(store, client):
    before = (await client.snapshot()).directory.revision
    store.delete("op/config")
    assert (await client.changes(before)).config is None


@pytest.mark.parametrize(
    "item", [{"value": ""}, "text", {"key": 7}, {"key": "\ud800", "modRevision": 3}]
)
async def test_a_page_may_end_with_an_item_without_a_valid_key(store, client, item):
    # Guards against a KeyError that ends the task that reads the store.
    store.items["servers/i-a"] = item
    update = await client.snapshot()
    assert [change.id for change in update.directory.targets] == ["i-b", "i-c"]


async def test_a_page_without_any_valid_key_is_an_error(store, client):
    # Guards against reading the same page forever.
    for key in list(store.items)[1:]:
        store.items[key] = {"value": ""}
    store.page_size = 1
    with pytest.raises(PlatformContentError):
        await client.snapshot()


async def test_a_malformed_configuration_does_not_hide_target_changes(
    store, client, log
):
    # Guards against a malformed configuration that prevents all further updates.
    before = (await client.snapshot()).directory.revision
    store.put("op/config", CONFIG)
    store.events[-1]["value"] = "not base64!"
    store.delete("servers/i-b")
    update = await client.changes(before)
    assert update.config is None
    assert [change.id for change in update.directory.targets] == ["i-b"]
    assert [line["key"] for line in log if line["event"] == 413] == ["op/config"]


async def test_items_without_a_key_or_revision_are_logged_and_ignored(
    store, client, log
):
    # Guards against an item that ends the task that reads the store.
    store.items["servers/i-b"] = {"key": "servers/i-b", "value": ""}
    store.items["servers/i-c"] = ["servers/i-c"]
    update = await client.snapshot()
    assert [change.id for change in update.directory.targets] == ["i-a"]
    assert len([line for line in log if line["event"] == 413]) == 2


async def test_a_store_whose_pages_never_end_is_not_read_on(store, client, monkeypatch):
    # Guards against a store in trouble that fills the memory page by page.
    monkeypatch.setattr(module, "MAX_SNAPSHOT_BYTES", 4_000)
    monkeypatch.setattr(
        StoreStandin, "_read_range", lambda self, query: _endless_page()
    )
    with pytest.raises(PlatformContentError, match="over 4000 bytes"):
        await client.snapshot()
    assert len(store.calls) < 40


def _endless_page():
    item = {"key": "servers/i-a", "value": "", "modRevision": 1}
    return {"items": [item], "hasMore": True, "storeRevision": 9}


async def test_a_deeply_nested_answer_of_the_store_is_malformed(client, monkeypatch):
    # Guards against ending the task that reads the store.
    nested = Response(200, (), b"[" * 200_000)
    monkeypatch.setattr(
        StoreStandin, "_reply", lambda self, req, page: req.reply(nested)
    )
    with pytest.raises(PlatformContentError, match="not JSON"):
        await client.snapshot()


async def test_each_answer_names_the_era(store, client):
    before = await client.snapshot()
    store.put("servers/i-d", ENTRY)
    changes = await client.changes(before.directory.revision)
    assert (before.directory.era, changes.directory.era) == (1, 1)
    store.restore(before.directory.revision)
    assert (await client.snapshot()).directory.era == 2
    with pytest.raises(HistoryLostError):
        await client.changes(changes.directory.revision)


async def test_pages_of_different_eras_are_no_content(client, monkeypatch):
    # Guards against a content of which one half is from before a restore.
    read_range = StoreStandin._read_range

    def restore_between_pages(self, query):
        if "after" in query:
            self.era += 1
        return read_range(self, query)

    monkeypatch.setattr(StoreStandin, "_read_range", restore_between_pages)
    with pytest.raises(PlatformError):
        await client.snapshot()


@pytest.mark.parametrize("value", [b"two", b"-1", b"", b"9" * 40])
async def test_a_malformed_era_is_an_error(client, monkeypatch, value):
    fields = ((b"Store-Era", value),)
    monkeypatch.setattr(StoreStandin, "_fields", lambda self: fields)
    with pytest.raises(PlatformContentError):
        await client.snapshot()


async def test_one_unreadable_number_hides_no_other_entry(store, client, log):
    # Guards against an entry, a revision or a nesting that ends every gateway (review
    # case 5).
    number = b'"coldRemainingMs": ' + b"9" * 400
    entry = json.dumps({**ENTRY, "coldRemainingMs": 0}).encode()
    store.put("servers/i-b", entry.replace(b'"coldRemainingMs": 0', number))
    store.items["servers/i-c"]["modRevision"] = 10**400
    nested: list = []
    for _ in range(200):
        nested = [nested]
    store.items["servers/i-d"] = {"key": nested}
    update = await client.snapshot()
    assert [c.id for c in update.directory.targets if c.target] == ["i-a"]
    assert len({line["key"] for line in log if line["event"] == 413}) == 3
    # Each line can be written.
    assert all(orjson.dumps(line, default=str) for line in log)


async def test_a_store_revision_out_of_range_is_malformed(store, client):
    # Guards against a revision that nothing can follow, or that peers can't be sent.
    store.revision = 10**400
    with pytest.raises(PlatformContentError):
        await client.snapshot()


async def test_an_unexpected_error_in_one_entry_hides_no_other(
    store, client, log, monkeypatch
):
    # Guards against a fault of the decoder itself that ends every gateway.
    decode_target = module.decode_target

    def fail_for_b(id_, text):
        if id_ == "i-b":
            raise ZeroDivisionError
        return decode_target(id_, text)

    monkeypatch.setattr(module, "decode_target", fail_for_b)
    update = await client.snapshot()
    assert [c.id for c in update.directory.targets if c.target] == ["i-a", "i-c"]
    (line,) = [line for line in log if line["event"] == 108]
    assert "ZeroDivisionError" in line["traceback"]


async def test_an_evacuation_is_read_and_ends_when_its_key_is_removed(store, client):
    store.put("op/evacuate/qld-south-a", {})
    before = await client.snapshot()
    (entry,) = before.evacuations.entries
    assert (entry.data_centre, entry.active) == ("qld-south-a", True)
    assert before.evacuations.since == 0
    store.delete("op/evacuate/qld-south-a")
    (entry,) = (await client.changes(before.directory.revision)).evacuations.entries
    assert (entry.data_centre, entry.active) == ("qld-south-a", False)
    assert (await client.snapshot()).evacuations.entries == ()


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"true", b"[" * 100_000])
async def test_an_evacuation_counts_whatever_its_value_is(store, client, log, value):
    # Guards against requests at a data centre that the operator drains by hand.
    store.put("op/evacuate/a", value)
    store.put("op/evacuate/b", {})
    store.items["op/evacuate/b"]["modRevision"] = "seven"
    store.put("op/evacuate/", {})
    update = await client.snapshot()
    assert {e.data_centre for e in update.evacuations.entries} == {"a", "b"}
    assert {line["key"] for line in log if line["event"] == 413} == {
        "op/evacuate/",
        "op/evacuate/a",
        "op/evacuate/b",
    }
