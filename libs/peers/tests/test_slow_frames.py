"""A frame that comes byte by byte does not hold a connection."""

from __future__ import annotations

import eventlet
import pytest

from cowslipstep.model import Address
from cowslipstep.peers import PeerServer, Traffic, _connection

_FRAME_TIMEOUT_S = 0.2
_BYTE_PERIOD_S = 0.05
_MAX_BYTES_SENT = 200


# Each byte had a timeout of its own.
def test_frame_without_end_closes_its_connection(monkeypatch) -> None:
    monkeypatch.setattr(_connection, '_FRAME_TIMEOUT_S', _FRAME_TIMEOUT_S)
    listener = eventlet.listen(('127.0.0.1', 0))
    address = Address(*listener.getsockname()[:2])
    listener.close()
    server = PeerServer(address, lambda _message, _reply: None, Traffic())
    serving = eventlet.spawn(server.run)
    peer = eventlet.connect((address.ip, address.port))
    with pytest.raises(OSError, match='.'):
        for _ in range(_MAX_BYTES_SENT):
            peer.sendall(b'\0')
            eventlet.sleep(_BYTE_PERIOD_S)
    serving.kill()
