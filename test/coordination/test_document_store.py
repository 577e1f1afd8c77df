"""Stores converge on the highest valid version despite network faults."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from filbertshelf.coordination.document_store import DocumentStore, UpdateResult
from filbertshelf.errors import DocumentError
from filbertshelf.protocol.platform import PlatformDocument
from filbertshelf.state.documents import FullDocument, digest_of, encode_entries
from filbertshelf.state.publication import parse_publication, unflatten

NODES = 3
NODE = st.integers(0, NODES - 1)


def content(size, policies):
    """Return a publication; a fleet size of 0 is invalid."""
    table = {name: {"deadline_ms": ms} for name, ms in policies.items()}
    return {"fleet": {"instances": size}, "policies": table}


CONTENTS = st.builds(
    content,
    st.integers(0, 2),
    st.dictionaries(st.sampled_from("abcd"), st.sampled_from([1, 2])),
)


class ConvergenceMachine(RuleBasedStateMachine):
    """Changes are delivered late, twice, in any order, or never."""

    def __init__(self):
        super().__init__()
        self.stores = [DocumentStore() for _ in range(NODES)]
        self.seen = [store.versions() for store in self.stores]
        self.in_transit = []
        self.published = []

    @rule(node=NODE, revision=st.integers(0, 4), body=CONTENTS)
    def read_platform(self, node, revision, body):
        """Read the platform, whose replicas may be stale or repeat a revision."""
        self.published.append((revision, body))
        self.stores[node].apply_platform_document(
            "config", PlatformDocument(revision, body)
        )

    @rule(source=NODE, receiver=NODE)
    def offer(self, source, receiver):
        """Offer the source's version, and put the resulting change in transit."""
        self._offer(source, receiver)

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data, again):
        """Deliver any change in transit, perhaps not for the last time."""
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        target, change = self.in_transit[index]
        self._deliver(target, change)
        if not again:
            del self.in_transit[index]

    @invariant()
    def versions_never_go_down(self):
        """Check promise 8: versions never decrease."""
        for store, seen in zip(self.stores, self.seen, strict=True):
            for name, version in store.versions().items():
                assert version >= seen[name]
                seen[name] = version

    @invariant()
    def only_a_valid_publication_is_in_force(self):
        """Check that no store applied the invalid fleet size 0."""
        for store in self.stores:
            assert store.publication is None or store.publication.fleet.instances > 0

    def teardown(self):
        """Exchange all changes; all stores must then hold the highest valid version."""
        for _ in range(2):
            for source in range(NODES):
                for target in range(NODES):
                    self.in_transit.clear()
                    self._offer(source, target)
                    for receiver, change in self.in_transit:
                        self._deliver(receiver, change)
        held = {store.version("config") for store in self.stores}
        assert len(held) == 1
        assert all(s.publication == self.stores[0].publication for s in self.stores)
        valid = [r for r, body in self.published if body["fleet"]["instances"]]
        assert held.pop().revision == max(valid, default=-1)

    def _offer(self, source, target):
        version = self.stores[source].version("config")
        if self.stores[target].wants("config", version):
            held = self.stores[target].version("config")
            change = self.stores[source].change_since("config", held)
            self.in_transit.append((target, change))

    def _deliver(self, target, change):
        try:
            self.stores[target].apply_peer_change("config", change, "peer")
        except DocumentError:
            # The delta is based on a version that the receiver no longer holds.
            assert change.base != self.stores[target].version("config")


TestConvergence = ConvergenceMachine.TestCase
TestConvergence.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)


@pytest.mark.parametrize(
    "body",
    [
        {"fleet": {"instances": 0}},
        {"polices": {}},
        {"services": []},
        {"services": {"a": {"shards": {"0": ["nowhere"]}}}},
        {"policies": {"a": {"selector": "("}}},
    ],
)
def test_an_invalid_publication_is_refused_once_and_the_previous_stays(body, log):
    """Guards against a bad publication that takes effect or floods the log."""
    store = DocumentStore()
    store.apply_platform_document("config", PlatformDocument(1, content(2, {})))
    for _ in range(3):
        published = PlatformDocument(2, body)
        assert (
            store.apply_platform_document("config", published) is UpdateResult.REFUSED
        )
    assert store.publication.fleet.instances == 2
    assert store.version("config").revision == 1
    assert [m["event"] for m in log].count(401) == 1
    assert (
        store.apply_platform_document("config", PlatformDocument(3, {}))
        is UpdateResult.ACCEPTED
    )


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["a", "a/b", "", "labels", "shards", "selector"]), inner
        )
    ),
    max_leaves=8,
)


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from(["fleet", "services", "targets", "policies"]), JSON)
)
def test_no_content_raises_and_a_peer_accepts_what_the_platform_published(body):
    """Guards against one publication that stops all instances together."""
    store, peer = DocumentStore(), DocumentStore()
    for document in ("config", "instances"):
        result = store.apply_platform_document(document, PlatformDocument(1, body))
        change = store.change_since(document, peer.version(document))
        assert (change is None) == (result is UpdateResult.REFUSED)
        assert (
            change is None or peer.apply_peer_change(document, change, "peer") is result
        )
    assert peer.publication == store.publication
    assert peer.rows == store.rows


def test_a_publication_over_the_size_of_a_frame_is_refused(monkeypatch):
    """Guards against a version that the watchers hold and can't send to others."""
    doc = content(1, {str(i): 1 for i in range(100)})
    assert (
        DocumentStore().apply_platform_document("config", PlatformDocument(1, doc))
        is UpdateResult.ACCEPTED
    )
    monkeypatch.setattr(
        "filbertshelf.coordination.document_store.MAX_ENCODED_BYTES", 2_000
    )
    assert (
        DocumentStore().apply_platform_document("config", PlatformDocument(1, doc))
        is UpdateResult.REFUSED
    )


@pytest.mark.parametrize(
    "entries", [{"fleet": {"instances": 0}}, {"a/b": 1}, {"services": {}}, {"x": 1}]
)
def test_an_invalid_publication_from_a_peer_is_refused(entries, log):
    """Guards against a peer of another build that accepts what this one refuses."""
    store = DocumentStore()
    store.apply_platform_document("config", PlatformDocument(1, {}))
    encoded = encode_entries(entries)
    full = FullDocument(
        attrs.evolve(store.version("config"), revision=2, digest=digest_of(encoded)),
        encoded,
    )
    assert store.apply_peer_change("config", full, "peer") is UpdateResult.REFUSED
    assert not store.wants("config", full.version)
    assert store.publication == parse_publication(unflatten({"fleet": {}}))
    assert [m["event"] for m in log].count(401) == 1


def test_a_platform_that_lost_revisions_is_ignored_and_logged_once(log):
    """Guards against ignoring a change by the operator without a log line."""
    store = DocumentStore()
    store.apply_platform_document("config", PlatformDocument(9, content(2, {})))
    for _ in range(2):
        published = PlatformDocument(3, content(1, {}))
        assert store.apply_platform_document("config", published) is UpdateResult.OLDER
    assert store.publication.fleet.instances == 2
    assert [m["event"] for m in log].count(403) == 1
