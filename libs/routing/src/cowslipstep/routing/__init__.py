"""Decisions on requests: admission, queuing, and the choice of an upstream.

Two ways of routing share this library. With dispatchers, an entry daemon
requests a slot from the dispatcher of a cell before it sends a request to a
group. Without them, each daemon chooses groups by the loads that daemons
report to each other (``admit_request``, ``UpstreamLoads``).

No module depends on sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.routing._admission_decisions import (
    Admission,
    BestEffort,
    OnTime,
    Overloaded,
    RequestDemand,
)
from cowslipstep.routing._cell_choice import CellBatch, CellChoice
from cowslipstep.routing._cell_slots import CellSlots
from cowslipstep.routing._dispatcher import Dispatcher
from cowslipstep.routing._dispatcher_types import (
    CellPolicy,
    Clock,
    DispatcherLoad,
    GroupSlots,
    SlotReplyCallback,
    WorkspacePolicy,
)
from cowslipstep.routing._first_event import (
    GroupView,
    ModelTimes,
    first_event_s,
    group_busy_s,
)
from cowslipstep.routing._late_parts import (
    LatePart,
    ResponseTimes,
    late_part,
)
from cowslipstep.routing._limits import workspace_policies
from cowslipstep.routing._overload import BEST_EFFORT_URGENCY, admit_request
from cowslipstep.routing._owner_history import OwnerHistory
from cowslipstep.routing._prefix_map import PrefixMap
from cowslipstep.routing._relays import (
    RELAY_TIMEOUT_S,
    Follower,
    MeshMember,
    Relay,
    RelayChoice,
    Role,
)
from cowslipstep.routing._rendezvous import rendezvous_order
from cowslipstep.routing._report_differences import subtract_report
from cowslipstep.routing._report_sums import sum_reports
from cowslipstep.routing._routes import RoutedRequest, RouteTable
from cowslipstep.routing._urgency import urgency_level
from cowslipstep.routing._upstream_backoffs import UpstreamBackoffs
from cowslipstep.routing._upstream_doubts import (
    doubted_upstreams,
    trusted_upstreams,
)
from cowslipstep.routing._upstream_loads import UpstreamLoads
from cowslipstep.routing._usage_table import UsageTable, newest_usages
from cowslipstep.routing._usual_durations import UsualDurations
from cowslipstep.routing._usual_requests import UsualRequest, UsualRequests
from cowslipstep.routing.late_loads import FleetPlace, LoadSamples
