"""Whatever chunks arrive, the caller gets its own tokens in order, or an error."""

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings

from lycheetide.streams import (
    Chunk,
    ChunkVerdict,
    StreamCheck,
    check_chunk,
    parse_chunk,
)

chunks = st.builds(
    Chunk,
    st.sampled_from(["mine", "other", "late"]),
    st.integers(0, 8),
    st.text(max_size=3),
    st.booleans(),
)


@given(st.lists(chunks, max_size=40))
@settings(derandomize=True, deadline=None, max_examples=400)
def test_delivered_tokens_are_the_attempts_own_without_a_gap(received):
    """Abandoned connections may still deliver, and engines may mix up streams."""
    check = StreamCheck("mine")
    delivered = []
    for chunk in received:
        check, verdict = check_chunk(check, chunk)
        if verdict is ChunkVerdict.DELIVER:
            delivered.append(chunk)
        elif verdict is ChunkVerdict.END:
            assert chunk.attempt_id == "mine"
            assert chunk.seq == len(delivered)
            break
        elif verdict in (ChunkVerdict.GAP, ChunkVerdict.SHORT):
            break
    assert [chunk.seq for chunk in delivered] == list(range(len(delivered)))
    assert {chunk.attempt_id for chunk in delivered} <= {"mine"}


@given(st.binary(max_size=60))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_broken_bytes_are_an_error_and_nothing_else(data):
    with pytest.raises(msgspec.MsgspecError):
        parse_chunk(b"{" + data)
