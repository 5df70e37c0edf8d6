"""Frames with a valid checksum and an invalid body, on green threads.

Each of them must be decoded or raise an error. An error inside the codec that
walks the stack of a green thread, or is raised in a destructor, would end the
process.
"""

import struct
import zlib

import eventlet
import pytest
from eventlet.green import socket
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cowslipstep import model
from cowslipstep.peers import (
    Frame,
    FrameError,
    PeerEndpoint,
    PeerLink,
    PeerServer,
    PeerUnreachable,
    Traffic,
    decode_frame,
    encode_frame,
)
from cowslipstep.peers._schema import SCHEMA

CELL = model.Cell('drafting', 'ebene')
REQUEST = model.Request(
    'r1', 'grid-a', 'urgent', 'drafting', 900, 200, 30, True, 7
)
GOSSIP = (model.GossipedLiveness('d1', 3, 0.5),) * 3
REPORT = model.ReadinessReport(
    7, ('g1', 'g2'), 1.5, (model.GroupReadiness('g1', 0.25),)
)
RESPONSE = model.StoredResponse(200, 'application/json', b'{}')
MESSAGES = (
    model.SlotRequest(CELL, REQUEST, ('g1', 'g2')),
    model.Grant('r1', 'g1', model.Address('127.0.0.1', 80), 1.5),
    model.Refusal('r1', model.NotRun(model.Reason.no_capacity, 2)),
    model.Renewal(CELL, 'r1', 12),
    model.Release(CELL, 'r1', 12, True),
    model.Heartbeat('d0', 9, 9, True, 77, REPORT, GOSSIP),
    model.DaemonEntry('d0', model.Address('127.0.0.1', 80), 'ebene', 2**62),
    model.ConfigurationCopy(5, 'x' * 20000),
    model.GroupLedgerCopies((model.GroupLedgerDocument(7, '{}'),) * 2),
    model.OrderLedgerCall(
        's', next(iter(model.OrderLedgerOperation)), 'd', 'a', 'f', RESPONSE
    ),
    model.OrderLedgerReply(next(iter(model.OrderLedgerOutcome)), RESPONSE),
)
WORD = struct.Struct('<Q')
TABLE_BYTES = 8
# Pointers to huge, empty and far lists, and invalid words.
WORDS = (
    0,
    2**64 - 1,
    0xFFFFFFFF00000001,
    0xFFFFFFF800000001,
    0x7FFFFFFFD,
    2,
    0xFFFFFFFF00000002,
    0x100000003,
    0x1000100000000,
    0x120000000D,
)


def pack(flat):
    """Pack whole words without runs of zero or literal words."""
    starts = range(0, len(flat), WORD.size)
    words = [flat[offset : offset + WORD.size] for offset in starts]
    return b''.join(map(pack_word, words))


def pack_word(word):
    filled = [place for place, byte in enumerate(word) if byte]
    tag = sum(1 << place for place in filled)
    no_run = b'\0' if tag in {0, 255} else b''
    return bytes([tag, *filter(None, word)]) + no_run


def flat_frame(message):
    frame = SCHEMA.Frame.from_bytes_packed(
        encode_frame(Frame(3, False, message))
    )
    return bytearray(frame.as_builder().to_bytes())


def decode_or_error(payload):
    try:
        return decode_frame(payload)
    except FrameError as error:
        return error


def decode_on_green_thread(payload):
    decoded = eventlet.spawn(decode_or_error, payload).wait()
    assert isinstance(decoded, Frame | FrameError)


PLACES = st.integers(0, 400)
KNOWN_WORD = st.sampled_from(WORDS)
ANY_WORD = KNOWN_WORD | st.integers(0, WORDS[1])


def damage(body, flips):
    for offset, byte in flips:
        body[offset % len(body)] = byte


ANY_WORDS = st.lists(st.tuples(PLACES, ANY_WORD), max_size=3)
ANY_BYTE = st.integers(0, 255)
ANY_BYTES = st.lists(st.tuples(PLACES, ANY_BYTE), max_size=4)


@settings(derandomize=True, max_examples=2000, deadline=None)
@given(st.sampled_from(MESSAGES), ANY_WORDS, ANY_BYTES)
def test_wrong_bodies_are_decoded_or_refused(message, words, flips):
    flat = flat_frame(message)
    body = memoryview(flat)[TABLE_BYTES:]
    for place, word in words:
        WORD.pack_into(body, place * WORD.size % len(body), word)
    damage(body, flips)
    decode_on_green_thread(pack(flat))


ENDS = st.binary(max_size=9)


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(st.sampled_from(MESSAGES), PLACES, ENDS)
def test_cut_frames_are_refused(message, cut, tail):
    payload = encode_frame(Frame(3, False, message))
    decode_on_green_thread(payload[: cut % len(payload)] + tail)


TABLES = st.lists(KNOWN_WORD | st.integers(0, 9), max_size=8)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(TABLES)
def test_wrong_segment_tables_are_refused(words):
    decode_on_green_thread(pack(b''.join(map(WORD.pack, words))))


def test_frames_of_several_segments_are_decoded():
    copy = model.ConfigurationCopy(5, 'x' * 1000000)
    frame = Frame(3, False, copy)
    decoded = eventlet.spawn(decode_or_error, encode_frame(frame)).wait()
    assert decoded == frame


def test_invalid_text_is_refused():
    payload = encode_frame(
        Frame(3, False, model.ConfigurationCopy(5, 'abcdef'))
    )
    broken = payload.replace(b'abcdef', b'ab\xff\xfeef')
    assert isinstance(decode_or_error(broken), FrameError)


def framed(payload):
    return struct.pack('>II', len(payload), zlib.crc32(payload)) + payload


BROKEN = framed(pack(struct.pack('<QQQ', 0x100000001, 1, 1)))


@pytest.fixture
def logged_warnings():
    log_lines = []
    sink = logger.add(log_lines.append, level='WARNING')
    yield log_lines
    logger.remove(sink)


def listen_at(address):
    listener = eventlet.listen((address.ip, address.port), reuse_port=False)
    return listener, model.Address(*listener.getsockname()[:2])


def test_a_server_warns_and_closes_the_link(logged_warnings):
    listener, address = listen_at(model.Address('127.0.0.1', 0))
    listener.close()
    server = PeerServer(
        address,
        lambda _message, reply: reply(model.Acknowledgement()),
        Traffic(),
    )
    task = eventlet.spawn(server.run)
    sock = socket.create_connection((address.ip, address.port))
    sock.sendall(BROKEN)
    assert sock.recv(1) == b''
    assert 'broken frame' in str(logged_warnings)
    task.kill()


def test_a_link_warns_and_reconnects(logged_warnings):
    listener, address = listen_at(model.Address('127.0.0.1', 0))
    link = PeerLink(PeerEndpoint(address, model.Acknowledgement(), Traffic()))
    task = eventlet.spawn(link.run)
    listener.accept()[0].sendall(BROKEN)
    with pytest.raises(PeerUnreachable):
        link.call(model.ConfigurationQuery(1), timeout_s=0.1)
    listener.accept()
    assert 'broken frame' in str(logged_warnings)
    task.kill()


def test_a_huge_list_without_bytes_is_refused():
    gossip = (model.GossipedLiveness('d1', 3, 0.5),)
    flat = flat_frame(model.Heartbeat('d0', 9, 9, gossip=gossip))
    tag = WORD.pack(0x1000200000004)
    assert flat.count(tag) == 1
    # Five million entries of size zero need no bytes.
    many = WORD.pack(5_000_000 << 2)
    decoded = decode_or_error(pack(bytes(flat).replace(tag, many)))
    assert isinstance(decoded, FrameError)
