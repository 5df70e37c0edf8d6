"""Messages between daemons, without their encoding."""

from __future__ import annotations

from cowslipstep.model._grants import GrantMessage
from cowslipstep.model._membership import MembershipMessage
from cowslipstep.model._order_messages import OrderMessage
from cowslipstep.model._probing import ProbeMessage

Message = GrantMessage | MembershipMessage | OrderMessage | ProbeMessage
