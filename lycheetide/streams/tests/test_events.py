"""The same bytes are the same events, wherever they are cut."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheetide.streams import (
    BYTE_ORDER_MARK,
    EventSplitter,
    EventTooLongError,
    find_data,
)
from lycheetide.streams._events import MAX_EVENT_BYTES

LINES = (
    b"id: 9", b"data: a", b"", b": a comment", b"", b"id: 10", b"data: b",
    b"data:  c", b"", b"", b"", b"event: d", b"id:11", b"data", b"",
)  # fmt: skip
EVENTS = [(b"9", b"a"), (b"", None), (b"10", b"b\n c"), (b"11", b"")]
ENDS = (b"\n", b"\r\n", b"\r")


def split_all(pieces):
    """Return id and data of all events of some pieces, and all their bytes."""
    splitter = EventSplitter()
    events = [event for piece in pieces for event in splitter.split(piece)]
    assert not splitter.is_within_event
    data = b"".join(event.data for event in events) + splitter.rest
    return [(event.id, find_data(event.data)) for event in events], data


def join_lines(ends):
    """Return the stream with some line ends, each for one line in turn.

    An empty line after a CR doesn't end with LF alone: both would be one line end.
    """
    stream = b""
    for place, line in enumerate(LINES):
        end = ends[place % len(ends)]
        is_joined = not line and end == b"\n" and stream.endswith(b"\r")
        stream += line + (b"\r" if is_joined else end)
    return stream


@pytest.mark.parametrize("mark", [b"", BYTE_ORDER_MARK])
@pytest.mark.parametrize("end", ENDS)
def test_events_do_not_depend_on_one_cut_or_on_pieces_of_one_byte(end, mark):
    """Guards against an event that is joined with the next one at a cut in CR LF."""
    stream = mark + join_lines([end])
    cuts = [[stream[:at], stream[at:]] for at in range(len(stream) + 1)]
    for pieces in [*cuts, [bytes([byte]) for byte in stream]]:
        assert split_all(pieces) == (EVENTS, stream)


@given(
    ends=st.lists(st.sampled_from(ENDS), min_size=1, max_size=len(LINES)),
    cuts=st.lists(st.integers(0, 120), max_size=12),
)
def test_events_do_not_depend_on_any_cuts_or_mix_of_line_ends(ends, cuts):
    """Guards against readers that treat each piece of a stream for itself."""
    stream = join_lines(ends)
    places = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    pieces = [stream[a:b] for a, b in pairwise(places)]
    assert split_all(pieces) == (EVENTS, stream)


@pytest.mark.parametrize("end", ENDS)
def test_an_event_waits_for_no_byte_that_it_does_not_need(end):
    splitter = EventSplitter()
    stream = b"id: 1" + end + b"data: a" + end
    assert not list(splitter.split(stream))
    assert [event.id for event in splitter.split(end[:1])] == [b"1"]


@pytest.mark.parametrize("id_", [b"9" * 5_000, b"-1", b"1.5", b"x", "²".encode()])
def test_an_id_that_is_no_usual_number_is_no_error(id_):
    """Guards against a stream that ends with an error because of an odd id."""
    splitter = EventSplitter()
    (event,) = splitter.split(b"id: " + id_ + b"\ndata: a\n\n")
    assert event.id == id_
    assert event.number is None


@pytest.mark.parametrize("filler", [b"x", b"\r\n", b"x\n", b"\n"])
def test_bytes_without_the_end_of_an_event_are_given_up(filler):
    """Guards against bytes that are kept without limit."""
    splitter = EventSplitter()
    sent = 0
    with pytest.raises(EventTooLongError):
        while True:
            sent += 4_096 * len(filler)
            assert not list(splitter.split(filler * 4_096))
    assert sent < MAX_EVENT_BYTES + 2 * 4_096 * len(filler)
