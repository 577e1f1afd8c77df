"""Versions only increase, and a delta yields exactly the content of its version."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertshelf.errors import DocumentError
from filbertshelf.state.documents import (
    Delta,
    FullDocument,
    VersionedDocument,
    decode_entries,
    encode_entries,
)

# 1, 1.0 and True are equal in Python but not in a publication.
VALUES = st.sampled_from([1, 1.0, True, "1", None, [1], {"a": 1}])
CONTENTS = st.dictionaries(st.sampled_from("abcdef"), VALUES)
PUBLICATIONS = st.lists(st.tuples(st.integers(0, 6), CONTENTS), max_size=12)


def fill(doc, publications):
    for revision, entries in publications:
        doc.accept(revision, encode_entries(entries))
    return doc


@settings(derandomize=True, deadline=None)
@given(PUBLICATIONS, st.randoms(use_true_random=False))
def test_the_highest_version_wins_in_any_order(publications, random):
    """Guards against two instances that end up with different contents."""
    doc = VersionedDocument()
    seen = doc.version
    for revision, entries in publications:
        taken = doc.accept(revision, encode_entries(entries))
        assert doc.version > seen if taken else doc.version == seen
        seen = doc.version
    shuffled = list(publications)
    random.shuffle(shuffled)
    other = fill(VersionedDocument(), shuffled)
    assert (other.version, other.entries) == (doc.version, doc.entries)


@settings(derandomize=True, deadline=None)
@given(PUBLICATIONS, PUBLICATIONS, st.integers(0, 4), st.integers(0, 10))
def test_a_delta_yields_the_content_of_its_version(old, new, steps, keys):
    """Guards against a delta that misses a change of type or a removed entry."""
    doc = fill(VersionedDocument(steps, keys), old)
    behind = fill(VersionedDocument(), old)
    fill(doc, new)
    change = doc.delta_since(behind.version)
    newer = doc.version > behind.version
    assert behind.apply(change) == newer
    assert (behind.version, behind.entries) == (doc.version, doc.entries)


def test_a_version_older_than_the_history_gets_the_full_document():
    doc = VersionedDocument(history_steps=2)
    versions = []
    for revision in range(5):
        doc.accept(revision, encode_entries({"a": revision, "b": 0}))
        versions.append(doc.version)
    kinds = [type(doc.delta_since(version)) for version in versions[:-1]]
    assert kinds == [FullDocument, FullDocument, Delta, Delta]
    assert doc.delta_since(versions[-2]).changed == encode_entries({"a": 4})


def test_a_change_that_does_not_match_its_digest_has_no_effect():
    doc = fill(VersionedDocument(), [(1, {"a": 1})])
    behind = fill(VersionedDocument(), [(1, {"a": 1})])
    doc.accept(2, encode_entries({"a": 2}))
    change = doc.delta_since(behind.version)
    forged = attrs.evolve(change, changed=encode_entries({"a": 3}))
    with pytest.raises(DocumentError):
        behind.apply(forged)
    with pytest.raises(DocumentError):
        VersionedDocument().apply(change)
    assert decode_entries(behind.entries) == {"a": 1}
    assert behind.apply(change)
    assert not behind.apply(change)
