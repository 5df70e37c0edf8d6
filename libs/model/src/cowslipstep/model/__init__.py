"""Core types of cowslipstep: immutable values, messages and verdicts.

All other libraries of the project import this one; it imports none of
them.
"""

from cowslipstep.model._configuration import (
    Configuration,
    Model,
    PlainService,
    Rank,
    Targets,
    VersionedConfiguration,
    Workspace,
)
from cowslipstep.model._errors import (
    CowslipstepError,
    DocumentError,
    RequestError,
)
from cowslipstep.model._fleet import Address, Cell, Fencing, Group, Runner
from cowslipstep.model._grants import (
    CellUsage,
    Grant,
    GrantMessage,
    Refusal,
    Release,
    Renewal,
    SlotRequest,
)
from cowslipstep.model._group_ledger_messages import (
    GroupLedgerCopies,
    GroupLedgerDocument,
    GroupLedgerQuery,
)
from cowslipstep.model._membership import (
    Acknowledgement,
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    GossipedLiveness,
    Heartbeat,
    MembershipMessage,
)
from cowslipstep.model._messages import Message
from cowslipstep.model._order_ledger_messages import (
    OrderLedgerCall,
    OrderLedgerOperation,
    OrderLedgerOutcome,
    OrderLedgerReply,
    OrderMessage,
    StoredResponse,
)
from cowslipstep.model._permissions import Permission
from cowslipstep.model._readiness import GroupReadiness, ReadinessReport
from cowslipstep.model._requests import Request
from cowslipstep.model._token_bucket import TokenBucket
from cowslipstep.model._verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
