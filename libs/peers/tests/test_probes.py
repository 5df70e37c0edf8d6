"""Messages on probes survive the codec."""

import pytest

from cowslipstep.model import HostFinding, ProbeFindings, ProbeQuery
from cowslipstep.peers import Frame, decode_frame, encode_frame

FINDING = HostFinding(
    'h1', 0, True, 'fab-1', 'ready', 0.25, 'drafting', 3, 2**40, 0.002
)


@pytest.mark.parametrize(
    'message',
    [
        ProbeQuery('fab', 7, ('fab-1',), True),
        ProbeFindings('fab', (HostFinding('h0', 3), FINDING)),
    ],
)
def test_messages_survive_the_codec(message):
    frame = Frame(3, True, message)
    assert decode_frame(encode_frame(frame)) == frame
