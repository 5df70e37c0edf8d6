"""Messages on the order ledger round-trip through the codec."""

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

RESPONSE = StoredResponse(200, 'text/plain', b'\x00done')
LONG_RESPONSE = StoredResponse(200, 'text/plain', None)
CALL = OrderLedgerCall('slot-1-2', OrderLedgerOperation.enter, 'd', 'a', 'f')


@pytest.mark.parametrize(
    'message',
    [
        CALL,
        OrderLedgerCall(
            'slot-1-2', OrderLedgerOperation.answer, 'd', 'a', 'f', RESPONSE
        ),
        OrderLedgerReply(OrderLedgerOutcome.in_use),
        OrderLedgerReply(OrderLedgerOutcome.unknown),
        OrderLedgerReply(OrderLedgerOutcome.answered, LONG_RESPONSE),
    ],
)
def test_order_ledger_messages_round_trip(message):
    frame = Frame(7, False, message)
    assert decode_frame(encode_frame(frame)) == frame
