"""Types of routes, runners and commands, and decisions on groups of runners.

This library opens no sockets and encodes no messages; callers pass in the
clock readings.
"""

from cowslipstep.fleet._commands import (
    CloseCommand,
    CommandOutcome,
    GroupCommand,
    JoinCommand,
    LeaveCommand,
    OpenCommand,
    StageCommand,
)
from cowslipstep.fleet._configuration import (
    CallerLimits,
    ColdStart,
    KeyIdentity,
    ServiceConfiguration,
    ServingConfiguration,
)
from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetDecision,
    FleetView,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from cowslipstep.fleet._engines import EngineProfile, ModelProfile, ServedModel
from cowslipstep.fleet._epochs import Epochs
from cowslipstep.fleet._evacuations import (
    Evacuations,
    exclude_evacuated,
    join_evacuations,
)
from cowslipstep.fleet._fleet_summary import (
    FleetSummary,
    RunnerUse,
    summarize_fleet,
)
from cowslipstep.fleet._group_index import GroupIndex
from cowslipstep.fleet._planner import FleetPlanner
from cowslipstep.fleet._reported_groups import (
    MembersByRank,
    ReportedGroup,
    reported_groups,
    serving_group,
)
from cowslipstep.fleet._requests import (
    CallerRequest,
    Header,
    ResponseHead,
    UpstreamRequest,
)
from cowslipstep.fleet._routes import RequestKind, Route, WeightedService
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    GroupId,
    GroupPosition,
    MemberState,
    ServingGroup,
)
