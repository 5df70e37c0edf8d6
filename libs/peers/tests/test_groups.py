"""Messages on groups survive the codec."""

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
def test_messages_on_groups_survive_the_codec(message):
    frame = Frame(3, True, message)
    assert decode_frame(encode_frame(frame)) == frame
