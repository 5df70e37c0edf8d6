"""Messages on groups survive the codec."""

import pytest

from cowslipstep.model import GroupsCopy, GroupsDocument, GroupsQuery
from cowslipstep.peers import Frame, decode_frame, encode_frame

SHORT = GroupsDocument(7, '{}')
LONG = GroupsDocument(2**60, 'x' * 9000)


MESSAGES = (
    GroupsQuery(),
    GroupsQuery('ebene'),
    GroupsCopy(),
    GroupsCopy((SHORT, LONG)),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_messages_on_groups_survive_the_codec(message):
    frame = Frame(3, True, message)
    assert decode_frame(encode_frame(frame)) == frame
