"""Links that break, stall or carry invalid bytes must not end any task."""

import contextlib
import socket as plain_socket

import eventlet
import pytest
from eventlet.green import socket

from cowslipstep.model import (
    Acknowledgement,
    Address,
    ConfigurationCopy,
    ConfigurationQuery,
)
from cowslipstep.peers import (
    PeerEndpoint,
    PeerLink,
    PeerServer,
    PeerUnreachable,
    Traffic,
)

GREETING = Acknowledgement()


def reply_to_all(message, reply):
    if message == ConfigurationQuery(13):
        raise RuntimeError('the handler fails')
    reply(Acknowledgement())


@contextlib.contextmanager
def running(target):
    task = eventlet.spawn(target.run)
    try:
        yield target
    finally:
        task.kill()


@pytest.fixture
def address():
    with plain_socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return Address('127.0.0.1', sock.getsockname()[1])


@pytest.fixture
def server(address):
    with running(PeerServer(address, reply_to_all, Traffic())) as started:
        yield started


@pytest.fixture
def link(address):
    with running(
        PeerLink(PeerEndpoint(address, GREETING, Traffic()))
    ) as started:
        yield started


def call(link, version=1):
    return link.call(ConfigurationQuery(version), timeout_s=2)


def test_calls_get_replies_and_are_counted(server, link):
    assert call(link) == Acknowledgement()
    assert link.endpoint.traffic.sent_frames == 2
    assert link.endpoint.traffic.received_frames == 1


@pytest.mark.parametrize(
    'invalid_bytes',
    [b'x', b'\xff\xff\xff\xff0000', b'\0\0\0\4\0\0\0\0abcd', b''],
)
def test_invalid_bytes_close_one_connection_only(
    server, link, address, invalid_bytes
):
    sock = socket.create_connection((address.ip, address.port))
    sock.sendall(invalid_bytes)
    sock.shutdown(plain_socket.SHUT_WR)
    assert sock.recv(10) == b''
    assert call(link) == Acknowledgement()


def test_a_failing_handler_closes_one_link_only(server, link):
    with pytest.raises(PeerUnreachable):
        call(link, version=13)
    assert call(link) == Acknowledgement()


def test_a_link_works_again_after_a_silent_peer(address, link):
    listener = eventlet.listen((address.ip, address.port), reuse_port=False)
    accepted = []
    eventlet.spawn(lambda: accepted.append(listener.accept()[0]))
    with pytest.raises(PeerUnreachable, match='no reply'):
        link.call(ConfigurationQuery(1), timeout_s=0.3)
    link.reset()
    listener.close()
    accepted[0].close()
    with running(PeerServer(address, reply_to_all, Traffic())):
        eventlet.sleep(1.2)
        assert call(link) == Acknowledgement()


def test_sends_to_a_stalled_peer_time_out(address, link):
    listener = eventlet.listen((address.ip, address.port), reuse_port=False)
    large_copy = ConfigurationCopy(1, 'x' * 3_000_000)
    with pytest.raises(PeerUnreachable, match='slow peer'):
        for _ in range(10):
            link.send(large_copy)
    listener.close()


def test_an_address_in_use_is_an_error(server, address):
    with pytest.raises(OSError, match='in use'):
        PeerServer(address, reply_to_all, Traffic())
