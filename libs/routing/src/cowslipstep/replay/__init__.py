"""Replay of request traces through the dispatchers in simulated time.

An engine is modelled by slots: a request occupies one for the time that its
prompt and its tokens take. The default policy runs the dispatcher of the
daemon; the other policies are baselines for comparison.
"""

from cowslipstep.replay._baselines import (
    FifoDispatcher,
    PowerOfTwoChoices,
)
from cowslipstep.replay._cell_owners import OwnerTransition
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._outcomes import Outcome, write_outcome
from cowslipstep.replay._owner_figures import OwnerCost, measure_owner_cost
from cowslipstep.replay._replay import DispatchPolicy, replay
from cowslipstep.replay._replayed_trace import ReplayedTrace
from cowslipstep.replay._spec import Phase, Stream, TraceSpec, read_spec
from cowslipstep.replay._statistics import (
    jain_index,
    percentile,
    rank_shares,
    served_tokens,
)
from cowslipstep.replay._trace import Arrival, expand_trace
from cowslipstep.replay._trace_measures import (
    lower_is_better,
    measure_all,
    meets_bound,
)
