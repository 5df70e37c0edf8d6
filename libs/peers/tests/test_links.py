"""Links that break, stall or talk nonsense; no task dies of it."""

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


def answer_all(message, reply):
    if message == ConfigurationQuery(13):
        raise RuntimeError('a fault in the handler')
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
    with running(PeerServer(address, answer_all, Traffic())) as started:
        yield started


@pytest.fixture
def link(address):
    with running(
        PeerLink(PeerEndpoint(address, GREETING, Traffic()))
    ) as started:
        yield started


def call(link, version=1):
    return link.call(ConfigurationQuery(version), timeout_s=2)


def test_calls_are_answered_and_counted(server, link):
    assert call(link) == Acknowledgement()
    assert link.callee.traffic.sent_frames == 2
    assert link.callee.traffic.received_frames == 1


@pytest.mark.parametrize(
    'noise',
    [b'x', b'\xff\xff\xff\xff0000', b'\0\0\0\4\0\0\0\0abcd', b''],
)
def test_noise_closes_one_connection_only(server, link, address, noise):
    sock = socket.create_connection((address.ip, address.port))
    sock.sendall(noise)
    sock.shutdown(plain_socket.SHUT_WR)
    assert sock.recv(10) == b''
    assert call(link) == Acknowledgement()


def test_a_fault_in_the_handler_ends_one_link(server, link):
    with pytest.raises(PeerUnreachable):
        call(link, version=13)
    assert call(link) == Acknowledgement()


def test_a_silent_peer_costs_a_call_not_the_link(address, link):
    listener = eventlet.listen((address.ip, address.port), reuse_port=False)
    accepted = []
    eventlet.spawn(lambda: accepted.append(listener.accept()[0]))
    with pytest.raises(PeerUnreachable, match='no reply'):
        link.call(ConfigurationQuery(1), timeout_s=0.3)
    link.reset()
    listener.close()
    accepted[0].close()
    with running(PeerServer(address, answer_all, Traffic())):
        eventlet.sleep(1.2)
        assert call(link) == Acknowledgement()


def test_a_peer_that_reads_nothing_is_cut_off(address, link):
    listener = eventlet.listen((address.ip, address.port), reuse_port=False)
    big = ConfigurationCopy(1, 'x' * 3_000_000)
    with pytest.raises(PeerUnreachable, match='slow peer'):
        for _ in range(10):
            link.send(big)
    listener.close()


def test_an_address_in_use_is_an_error(server, address):
    with pytest.raises(OSError, match='in use'):
        PeerServer(address, answer_all, Traffic())
