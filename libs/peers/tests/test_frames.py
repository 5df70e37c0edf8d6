"""Frames round-trip through the codec; broken bytes raise an error."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipstep.model import (
    Acknowledgement,
    Address,
    Cell,
    CellUsage,
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    GossipedLiveness,
    Grant,
    GroupReadiness,
    Heartbeat,
    NotRun,
    ReadinessReport,
    Reason,
    Refusal,
    Release,
    Renewal,
    Request,
    SlotRequest,
)
from cowslipstep.model.loads import LoadReport
from cowslipstep.peers import Frame, FrameError, decode_frame, encode_frame

CELL = Cell('drafting', 'ebene')
REQUEST = Request('r1', 'grid-a', 'urgent', 'drafting', 900, 200, 30, True, 7)
USAGE = CellUsage(CELL, 2500, 7, 1.5)
EXCEPTION = GroupReadiness('g1', 0.25)
REPORT = ReadinessReport(7, ('g1', 'g2'), 1.5, (EXCEPTION,))
GOSSIP = GossipedLiveness('d1', 3, 0.5)
MESSAGES = (
    Acknowledgement(),
    SlotRequest(CELL, REQUEST, ('g1', 'g2'), True, (USAGE, USAGE)),
    Grant('r1', 'g1', Address('127.0.0.1', 80), 1.5, 1, USAGE),
    Refusal('r1', NotRun(Reason.no_capacity, 2)),
    Refusal('r1', NotRun(Reason.limit, 2), USAGE),
    Renewal(CELL, 'r1', 12),
    Release(CELL, 'r1', 12, True),
    Heartbeat('d0', 2**62, 9, True, 77, REPORT, (GOSSIP,)),
    DaemonEntry('d0', Address('127.0.0.1', 80), 'ebene', 2**62),
    ConfigurationQuery(4),
    LoadReport('a', 1, 2, store_silences=3),
    ConfigurationCopy(5, '{}'),
    LoadReport('d0', 3, 5),
    LoadReport(
        'd0',
        3,
        5,
        evacuations_revision=2**62,
        evacuated_domains=('ebene', 'flacq'),
    ),
    LoadReport('d0', 4, 5, daemons_known=71),
)


@pytest.mark.parametrize(
    'message', MESSAGES, ids=lambda entry: type(entry).__name__
)
def test_messages_round_trip(message):
    frame = Frame(3, True, message)
    assert decode_frame(encode_frame(frame)) == frame


def decodes_or_refuses(payload):
    try:
        return isinstance(decode_frame(payload), Frame)
    except FrameError:
        return True


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_decode_or_are_refused(payload):
    assert decodes_or_refuses(payload)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(MESSAGES),
    st.integers(0, 400),
    st.integers(1, 255),
    st.integers(0, 20),
)
def test_damaged_frames_decode_or_are_refused(message, place, flip, cut):
    payload = bytearray(encode_frame(Frame(3, False, message)))
    payload[place % len(payload)] ^= flip
    assert decodes_or_refuses(bytes(payload[: len(payload) - cut]))
