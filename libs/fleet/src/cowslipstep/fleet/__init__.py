"""Types of routes, runners and orders, and decisions on groups of runners.

Nothing here knows sockets, HTTP or the encoding of messages; clocks are
passed in.
"""

from cowslipstep.fleet._configuration import (
    CallerLimits,
    KeyHolder,
    ServedService,
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
from cowslipstep.fleet._engines import EngineProfile, ServedModel
from cowslipstep.fleet._formations import (
    Formation,
    FormationKey,
    MembersByRank,
    formations,
    serving_groups,
)
from cowslipstep.fleet._keeper import FleetKeeper
from cowslipstep.fleet._orders import (
    Closing,
    GroupOrder,
    Joining,
    Leaving,
    Opening,
    OrderOutcome,
    Staging,
)
from cowslipstep.fleet._requests import (
    AnswerHead,
    CallerRequest,
    Header,
    UpstreamRequest,
)
from cowslipstep.fleet._routes import Backend, RequestKind, Route
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    Seat,
    SeatState,
    ServingGroup,
)
