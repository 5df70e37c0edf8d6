"""Messages on group ledgers round-trip through the codec."""

import pytest

from cowslipstep.model import (
    GroupLedgerCopies,
    GroupLedgerDocument,
    GroupLedgerQuery,
)
from cowslipstep.peers import Frame, decode_frame, encode_frame

SHORT = GroupLedgerDocument(7, '{}')
LONG = GroupLedgerDocument(2**60, 'x' * 9000)


MESSAGES = (
    GroupLedgerQuery(),
    GroupLedgerQuery('ebene'),
    GroupLedgerCopies(),
    GroupLedgerCopies((SHORT, LONG)),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_group_ledger_messages_round_trip(message):
    frame = Frame(3, True, message)
    assert decode_frame(encode_frame(frame)) == frame
