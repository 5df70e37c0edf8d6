"""Messages on upstream loads and on the entries of runners."""

from cowslipstep.model._load_reports import (
    LoadMessage,
    LoadReport,
    ModelDemand,
    RunnerDocument,
    RunnersCopy,
    RunnersQuery,
    UpstreamDoubt,
    UpstreamLoad,
)
