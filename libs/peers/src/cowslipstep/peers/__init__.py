"""Messages between daemons: Cap'n Proto frames over TCP links."""

from cowslipstep.peers._decode import decode_frame as decode_frame
from cowslipstep.peers._encode import encode_frame as encode_frame
from cowslipstep.peers._frames import Frame as Frame
from cowslipstep.peers._frames import FrameError as FrameError
from cowslipstep.peers._link import PeerLink as PeerLink
from cowslipstep.peers._link import PeerUnreachable as PeerUnreachable
from cowslipstep.peers._server import Handler as Handler
from cowslipstep.peers._server import PeerServer as PeerServer
from cowslipstep.peers._server import Reply as Reply
