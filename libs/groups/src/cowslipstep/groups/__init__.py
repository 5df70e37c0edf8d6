"""Decisions on groups: forming, readiness, draining.

Nothing here knows sockets, HTTP or the encoding of messages; clocks and
the store of ledgers are passed in.
"""

from cowslipstep.groups._commands import (
    AssignCommand,
    HostCommand,
    ReleaseCommand,
    due_commands,
)
from cowslipstep.groups._domain_outages import DomainOutageDetector
from cowslipstep.groups._health import (
    HostRecords,
    count_running,
    draining_groups,
    has_running_requests,
    lost_member,
)
from cowslipstep.groups._hosts import (
    HostRecord,
    HostReport,
    HostState,
    record_miss,
    record_report,
)
from cowslipstep.groups._lease import DomainLease, LeaseState, LeaseTiming
from cowslipstep.groups._lease_upkeep import (
    acquire_lease,
    maintain_ledger,
    release_lease,
)
from cowslipstep.groups._ledger import (
    DomainLedger,
    Lease,
    VersionedLedger,
    domain_of_group,
)
from cowslipstep.groups._packing import (
    DomainView,
    plan_domain,
    stranded_accelerators,
)
from cowslipstep.groups._probe_times import align_delay_s, probe_delay_s
from cowslipstep.groups._readiness import (
    READINESS_LIFETIME_S,
    ReadinessTable,
    group_readiness,
)
from cowslipstep.groups._shares import domain_shares
from cowslipstep.groups._store import (
    LedgerConflict,
    LedgerStore,
    LedgerUnavailable,
)
from cowslipstep.groups._stragglers import (
    StragglerWatch,
    replaceable,
    stragglers,
)
from cowslipstep.groups._writer import LedgerWriter, LedgerWriterIdentity
