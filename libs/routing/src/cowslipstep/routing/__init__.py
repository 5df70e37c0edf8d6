"""Decisions on requests: who owns a cell, which group serves, in what order.

Nothing here knows sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.routing._admissions import (
    Admission,
    BestEffort,
    OnTime,
    Overloaded,
    RequestDemand,
)
from cowslipstep.routing._affinity import PrefixMap
from cowslipstep.routing._cell_slots import CellSlots
from cowslipstep.routing._cells import CellChoice, CellTry, order_cells
from cowslipstep.routing._dispatcher import Dispatcher
from cowslipstep.routing._first_event import (
    GroupView,
    ModelTimes,
    first_event_s,
    group_seconds,
)
from cowslipstep.routing._limits import read_limits
from cowslipstep.routing._overload import BEST_EFFORT_URGENCY, admit_request
from cowslipstep.routing._owner_history import OwnerHistory
from cowslipstep.routing._relays import (
    RELAY_TIMEOUT_S,
    Follower,
    MeshMember,
    Relay,
    RelayChoice,
    Role,
)
from cowslipstep.routing._rendezvous import rendezvous_order
from cowslipstep.routing._report_sums import sum_reports
from cowslipstep.routing._routes import RoutedRequest, RouteTable
from cowslipstep.routing._upstream_loads import UpstreamLoads
from cowslipstep.routing._usage_table import UsageTable, newest_uses
from cowslipstep.routing._usual_requests import UsualRequest, UsualRequests
from cowslipstep.routing._views import (
    CellPolicy,
    Clock,
    DispatcherLoad,
    GroupSlots,
    SlotReplyCallback,
    WorkspaceShare,
)
