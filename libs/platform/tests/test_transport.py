"""Time limits of calls, against a server that responds late."""

import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from cowslipstep.model import Address
from cowslipstep.platform import ObjectKey, PlatformClient, PlatformUnavailable

KEY = ObjectKey('configuration', 'fleet')
RESPONSE_DELAY_S = 2.5


class LateHandler(BaseHTTPRequestHandler):
    """Responds to every call with "not modified", late."""

    def do_GET(self):
        time.sleep(RESPONSE_DELAY_S)
        self.send_response(304)
        self.end_headers()

    def log_message(self, *_parts):
        """Print nothing."""


@pytest.fixture
def client():
    """A client of a server that responds late."""
    with HTTPServer(('127.0.0.1', 0), LateHandler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield PlatformClient(Address(*server.server_address))
        server.shutdown()
        thread.join()


def test_a_watch_waits_for_its_whole_wait_time(client):
    assert client.watch(KEY, 1, RESPONSE_DELAY_S) is None


def test_a_read_times_out(client):
    with pytest.raises(PlatformUnavailable) as raised:
        client.read(KEY)
    assert raised.value.is_silent
