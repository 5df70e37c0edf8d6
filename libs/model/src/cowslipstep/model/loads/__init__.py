"""Messages on loads and on what daemons know of runners."""

from cowslipstep.model._load_reports import (
    LoadMessage,
    LoadReport,
    ModelDemand,
    RunnerDocument,
    RunnersCopy,
    RunnersQuery,
    UpstreamLoad,
)
