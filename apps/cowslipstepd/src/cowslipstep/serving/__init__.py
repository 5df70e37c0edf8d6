"""A daemon that serves routes over upstreams that it discovers."""

from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._run import TasksBroken, run_serving_daemon
