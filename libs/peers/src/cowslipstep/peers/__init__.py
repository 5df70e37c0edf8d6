"""Messages between daemons: Cap'n Proto frames over TCP links.

Also who exchanges heartbeats with whom, and who is alive.
"""

from cowslipstep.peers._connection import Traffic
from cowslipstep.peers._decode import decode_frame
from cowslipstep.peers._dialer import PeerEndpoint
from cowslipstep.peers._encode import encode_frame
from cowslipstep.peers._frames import Frame, FrameError
from cowslipstep.peers._heartbeat_peers import (
    FULL_MESH_DAEMONS,
    PeerView,
    choose_heartbeat_peers,
)
from cowslipstep.peers._link import PeerLink, PeerUnreachable
from cowslipstep.peers._liveness import LivenessTable
from cowslipstep.peers._readiness_reports import ReportReader, make_report
from cowslipstep.peers._server import MessageHandler, PeerServer, Reply
