"""Data path of requests: entry, links between nodes, gate of the upstream."""

from flamingolug.gateway._control_server import ReportDecoder
from flamingolug.gateway._gate import UpstreamHeaderNames
from flamingolug.gateway._model import Configuration
from flamingolug.gateway._model import Counter
from flamingolug.gateway._model import GatewaySettings
from flamingolug.gateway._model import Limits
from flamingolug.gateway._model import NodeIdentity
from flamingolug.gateway._model import Report
from flamingolug.gateway._model import RetryBounds
from flamingolug.gateway._model import Route
from flamingolug.gateway._model import Service
from flamingolug.gateway._model import SlotCount
from flamingolug.gateway._model import UpstreamState
from flamingolug.gateway._program import Environment
from flamingolug.gateway._program import Node
from flamingolug.gateway._program import run
from flamingolug.gateway._request_state import CallerHeaderNames
from flamingolug.gateway._server_load import ServerLoad

__all__ = [
    "CallerHeaderNames",
    "Configuration",
    "Counter",
    "Environment",
    "GatewaySettings",
    "Limits",
    "Node",
    "NodeIdentity",
    "Report",
    "ReportDecoder",
    "RetryBounds",
    "Route",
    "ServerLoad",
    "Service",
    "SlotCount",
    "UpstreamHeaderNames",
    "UpstreamState",
    "run",
]
