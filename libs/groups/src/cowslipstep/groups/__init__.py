"""Decisions on groups: forming, readiness, draining.

Nothing here knows sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.groups._ledger import DomainLedger as DomainLedger
from cowslipstep.groups._ledger import form_groups as form_groups
from cowslipstep.groups._ledger import missing_groups as missing_groups
from cowslipstep.groups._readiness import READINESS_BOUND_S as READINESS_BOUND_S
from cowslipstep.groups._readiness import MemberReport as MemberReport
from cowslipstep.groups._readiness import ReadinessTable as ReadinessTable
from cowslipstep.groups._readiness import group_readiness as group_readiness
