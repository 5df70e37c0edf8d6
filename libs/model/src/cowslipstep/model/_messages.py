"""Messages between daemons, without their encoding."""

from __future__ import annotations

from cowslipstep.model._grants import GrantMessage
from cowslipstep.model._load_reports import LoadMessage
from cowslipstep.model._membership import MembershipMessage
from cowslipstep.model._order_ledger_messages import OrderMessage

Message = GrantMessage | MembershipMessage | OrderMessage | LoadMessage
