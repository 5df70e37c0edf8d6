"""Decisions on the bytes that callers make a process hold.

No module depends on sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.memory._byte_budget import ByteBudget
from cowslipstep.memory._byte_limits import (
    ByteLimits,
    byte_limits,
    connections_within,
)
from cowslipstep.memory._holders import Holder
