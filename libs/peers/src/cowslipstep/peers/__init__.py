"""Messages between daemons: Cap'n Proto frames over TCP links.

Also the choice of the peers that a daemon exchanges heartbeats with, and a
table of the liveness of all daemons.
"""

from cowslipstep.peers._connection import Traffic
from cowslipstep.peers._decode import decode_frame
from cowslipstep.peers._dialer import PeerEndpoint
from cowslipstep.peers._encode import encode_frame
from cowslipstep.peers._frames import Frame, FrameError
from cowslipstep.peers._heartbeat_peers import (
    MAX_FULL_MESH_DAEMONS,
    PeerView,
    choose_heartbeat_peers,
)
from cowslipstep.peers._link import PeerLink, PeerUnreachable
from cowslipstep.peers._liveness import LivenessTable
from cowslipstep.peers._readiness_reports import (
    ReadinessReportReader,
    make_readiness_report,
)
from cowslipstep.peers._server import MessageHandler, PeerServer, ReplyCallback
