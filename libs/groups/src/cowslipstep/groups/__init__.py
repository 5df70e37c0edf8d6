"""Decisions on groups: formation, readiness and draining.

This library opens no sockets and encodes no messages; callers pass in the
clock and the store of ledgers.
"""

from cowslipstep.groups._commands import (
    AssignCommand,
    HostCommand,
    ReleaseCommand,
    due_commands,
)
from cowslipstep.groups._domain_outages import DomainOutageDetector
from cowslipstep.groups._domain_planning import (
    DomainView,
    plan_domain,
    stranded_accelerators,
)
from cowslipstep.groups._group_distribution import distribute_groups
from cowslipstep.groups._group_health import (
    HostRecords,
    count_unfinished_requests,
    draining_groups,
    find_lost_member,
    has_running_requests,
)
from cowslipstep.groups._host_records import (
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
from cowslipstep.groups._ledger_store import (
    LedgerConflict,
    LedgerStore,
    LedgerUnavailable,
)
from cowslipstep.groups._ledger_writer import LedgerWriter, LedgerWriterIdentity
from cowslipstep.groups._probe_schedule import align_delay_s, probe_delay_s
from cowslipstep.groups._readiness import (
    READINESS_LIFETIME_S,
    ReadinessTable,
    group_readiness,
)
from cowslipstep.groups._stragglers import (
    StragglerDetector,
    find_stragglers,
    replaceable_hosts,
)
