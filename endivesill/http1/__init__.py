"""HTTP/1.1 client and server connections on asyncio, with explicit control of reuse."""

from endivesill.http1.caller_budget import CallerBudget
from endivesill.http1.client import (
    ResponseHead,
    UpstreamConnection,
    UpstreamError,
    bounds_exceeded,
)
from endivesill.http1.closing import close_listener
from endivesill.http1.exchange import ConnectionLimits, Exchange
from endivesill.http1.head import Headers, encode_head, header_value, strip_hop_by_hop
from endivesill.http1.listener import HttpListener
from endivesill.http1.pool import ConnectionPool
from endivesill.http1.response import is_final_status
from endivesill.http1.sending import SendError, SendFailure, send_request
from endivesill.http1.server import ServerConnection

__all__ = [
    "CallerBudget",
    "ConnectionLimits",
    "ConnectionPool",
    "Exchange",
    "Headers",
    "HttpListener",
    "ResponseHead",
    "SendError",
    "SendFailure",
    "ServerConnection",
    "UpstreamConnection",
    "UpstreamError",
    "bounds_exceeded",
    "close_listener",
    "encode_head",
    "header_value",
    "is_final_status",
    "send_request",
    "strip_hop_by_hop",
]
