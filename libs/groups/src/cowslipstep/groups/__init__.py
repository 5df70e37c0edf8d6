"""Decisions on groups: forming, readiness, draining.

Nothing here knows sockets, HTTP or the encoding of messages; clocks and
the store of ledgers are passed in.
"""

from cowslipstep.groups._dark import DarkWatch
from cowslipstep.groups._health import (
    Records,
    count_running,
    draining_groups,
    is_at_work,
    lost_member,
)
from cowslipstep.groups._hosts import (
    HostRecord,
    HostReport,
    HostState,
    note_miss,
    note_report,
)
from cowslipstep.groups._keeping import (
    give_up_lease,
    keep_ledger,
    take_lease,
)
from cowslipstep.groups._lease import DomainLease, LeaseState, LeaseTiming
from cowslipstep.groups._ledger import (
    DomainLedger,
    Lease,
    VersionedLedger,
    domain_of_group,
)
from cowslipstep.groups._orders import (
    AssignOrder,
    Order,
    ReleaseOrder,
    due_orders,
)
from cowslipstep.groups._packing import (
    DomainView,
    plan_domain,
    stranded_accelerators,
)
from cowslipstep.groups._probe_times import align_delay_s, probe_delay_s
from cowslipstep.groups._readiness import (
    READINESS_BOUND_S,
    ReadinessTable,
    group_readiness,
)
from cowslipstep.groups._shares import domain_shares
from cowslipstep.groups._stragglers import (
    StragglerWatch,
    replaceable,
    stragglers,
)
from cowslipstep.groups._store import (
    LedgerConflict,
    LedgerStore,
    LedgerUnavailable,
)
from cowslipstep.groups._writer import Author, LedgerWriter
