"""Tests of the codec of messages on the order ledger."""

from __future__ import annotations

import pytest

from cowslipstep.model import (
    LedgerAnswer,
    LedgerCall,
    LedgerOutcome,
    LedgerReply,
    LedgerStep,
)
from cowslipstep.peers._decode import decode_frame
from cowslipstep.peers._encode import encode_frame
from cowslipstep.peers._frames import Frame

ANSWER = LedgerAnswer(200, 'text/plain', b'\x00done')
LONG_ANSWER = LedgerAnswer(200, 'text/plain', None)
CALL = LedgerCall('slot-1-2', LedgerStep.enter, 'd', 'a', 'f')


@pytest.mark.parametrize(
    'message',
    [
        CALL,
        LedgerCall('slot-1-2', LedgerStep.answer, 'd', 'a', 'f', ANSWER),
        LedgerReply(LedgerOutcome.in_use),
        LedgerReply(LedgerOutcome.unknown),
        LedgerReply(LedgerOutcome.answered, LONG_ANSWER),
    ],
)
def test_messages_survive_the_codec(message):
    frame = Frame(7, False, message)
    assert decode_frame(encode_frame(frame)) == frame
