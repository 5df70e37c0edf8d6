"""Tests of the codec of messages on the order ledger."""

from __future__ import annotations

import pytest

from cowslipstep.model import (
    OrderLedgerCall,
    OrderLedgerOperation,
    OrderLedgerOutcome,
    OrderLedgerReply,
    StoredResponse,
)
from cowslipstep.peers._decode import decode_frame
from cowslipstep.peers._encode import encode_frame
from cowslipstep.peers._frames import Frame

ANSWER = StoredResponse(200, 'text/plain', b'\x00done')
LONG_ANSWER = StoredResponse(200, 'text/plain', None)
CALL = OrderLedgerCall('slot-1-2', OrderLedgerOperation.enter, 'd', 'a', 'f')


@pytest.mark.parametrize(
    'message',
    [
        CALL,
        OrderLedgerCall(
            'slot-1-2', OrderLedgerOperation.answer, 'd', 'a', 'f', ANSWER
        ),
        OrderLedgerReply(OrderLedgerOutcome.in_use),
        OrderLedgerReply(OrderLedgerOutcome.unknown),
        OrderLedgerReply(OrderLedgerOutcome.answered, LONG_ANSWER),
    ],
)
def test_messages_survive_the_codec(message):
    frame = Frame(7, False, message)
    assert decode_frame(encode_frame(frame)) == frame
