"""The ASGI application of the operator port: a JSON API for operators."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from endivesill import errors, events
from endivesill.configuration.source import ConfigurationSource
from endivesill.configuration.state import APPLY, CHANGE
from endivesill.control import ControlClient
from endivesill.drain import DrainService
from endivesill.fleet_status import fleet_status
from endivesill.http_peers import KEY_REFUSED
from endivesill.json_text import parse_json
from endivesill.keys import KeyRing
from endivesill.membership.view import MembershipView, VmState
from endivesill.metrics import Metrics
from endivesill.operators.events import (
    CHANGE_ANSWERED,
    OPERATOR_CALL_FAILED,
    VOTERS_CHANGED,
)
from endivesill.operators.progress import ConfigurationProgress
from endivesill.operators.voters import VoterAdministration
from endivesill.peers import Message
from endivesill.settings import VmSettings
from endivesill.timer import TimerService

__all__ = ["OperatorApplication"]

PROPOSE_TIMEOUT_S = 10.0
QUERY_TIMEOUT_S = 5.0

UNAUTHENTICATED_PATHS = ("/health",)

STATUS_BY_OUTCOME = {"accepted": 200, "unchanged": 200, "conflict": 409, "refused": 422}

STATUS_BY_ERROR: tuple[tuple[type[errors.EndivesillError], int, str], ...] = (
    (errors.OutcomeUnknownError, 504, "outcome-unknown"),
    (errors.UnavailableError, 503, "unavailable"),
    (errors.DeadlineExceededError, 503, "unavailable"),
    (errors.PeerUnreachableError, 503, "unavailable"),
    (errors.UnsafeChangeError, 409, "unsafe"),
    (errors.EndivesillError, 500, "error"),
)

APPLY_FIELDS: dict[str, type] = {
    "number": str,
    "digest": str,
    "operator": str,
    "base_revision": int,
    "changed": dict,
    "removed": list,
    "origins": dict,
}
CHANGE_FIELDS: dict[str, type] = {
    "number": str,
    "digest": str,
    "operator": str,
    "key": str,
    "value": bool,
}

RequestHandler = Callable[[Request], Awaitable[Response]]


@attrs.frozen
class OperatorApplication:
    """Handles requests to the operator port.

    Args:
      timer: the timer service.
      vm: this VM's settings.
      keys: the keys of the port.
      metrics: the process's metrics.
      control: the replicated state.
      voters: administers the voters of the control group.
      membership: this VM's view of the fleet.
      configuration: the configuration in force on this VM.
      progress: reports whether a revision is in force on all VMs.
      drain: drains this VM.
    """

    timer: TimerService
    vm: VmSettings
    keys: KeyRing
    metrics: Metrics
    control: ControlClient
    voters: VoterAdministration
    membership: MembershipView
    configuration: ConfigurationSource
    progress: ConfigurationProgress
    drain: DrainService

    def starlette(self) -> Starlette:
        """Return the ASGI application."""
        handlers: list[tuple[str, str, RequestHandler]] = [
            ("GET", "/health", self._health),
            ("GET", "/metrics", self._metrics),
            ("GET", "/v1/status", self._status),
            ("GET", "/v1/fleet", self._fleet),
            ("GET", "/v1/configuration", self._documents),
            ("GET", "/v1/configuration/history", self._history),
            ("GET", "/v1/configuration/progress", self._progress),
            ("POST", "/v1/configuration/apply", self._apply),
            ("POST", "/v1/configuration/change", self._change),
            ("GET", "/v1/control", self._control),
            ("POST", "/v1/control/{operation}", self._change_voters),
            ("POST", "/v1/drain", self._drain),
        ]
        routes = [
            Route(path, self._with_authentication(handler), methods=[method])
            for method, path, handler in handlers
        ]
        return Starlette(routes=routes)

    def _with_authentication(self, handler: RequestHandler) -> RequestHandler:
        """Require a valid key and turn errors into JSON responses."""

        async def authenticated(request: Request) -> Response:
            path = request.url.path
            authorization = request.headers.get("authorization")
            if path not in UNAUTHENTICATED_PATHS and not self.keys.accepts(
                authorization
            ):
                client = request.client.host if request.client else ""
                events.emit(KEY_REFUSED, port="operator", client=client)
                return _error_response(
                    401, "key", "the operator port needs a valid key"
                )
            try:
                return await handler(request)
            except errors.RequestError as error:
                return _error_response(error.status, "request", str(error))
            except errors.EndivesillError as error:
                events.emit(OPERATOR_CALL_FAILED, path=path, error=str(error))
                return _response_for_error(error)

        return authenticated

    async def _health(self, request: Request) -> Response:
        ready = self.configuration.holds_lease() and self.drain.is_ready()
        return JSONResponse({"vm": self.vm.name, "ready": ready})

    async def _metrics(self, request: Request) -> Response:
        return PlainTextResponse(self.metrics.text())

    async def _status(self, request: Request) -> Response:
        current = self.configuration.current()
        states = [vm.state.value for vm in self.membership.vms()]
        summary: Message = {
            "vm": self.vm.name,
            "data_centre": self.vm.data_centre,
            "roles": list(self.vm.roles),
            "state": self.drain.state.value,
            "revision": current.revision,
            "holds_lease": self.configuration.holds_lease(),
            "vms": {state: states.count(state) for state in sorted(set(states))},
            "data_centres_out": sorted(
                name for name, item in current.data_centres.items() if item.taken_out
            ),
            "targets": len(current.targets),
            "organisations": len(current.organisations),
        }
        try:
            cluster = await self.voters.status()
            summary["control"] = {
                "leader": cluster.leader,
                "spare_voters": cluster.spare_voters,
            }
        except errors.EndivesillError as error:
            summary["control"] = {"unavailable": str(error)}
        return JSONResponse(summary)

    async def _fleet(self, request: Request) -> Response:
        """List the VMs and whether each may be stopped next."""
        vms = self.membership.vms()
        configured = self.configuration.current().vms.values()
        draining = {vm.name for vm in configured if vm.leaving}
        blocked: tuple[str, ...] = ()
        voters: set[str] = set()
        try:
            replicas = (await self.voters.status()).replicas
            addresses = {replica.address for replica in replicas if replica.voter}
            voters = {vm.name for vm in vms if vm.address in addresses}
        except errors.EndivesillError:
            blocked = ("the voters of the control group are not known",)
        rows = [
            {
                **attrs.asdict(status.vm),
                "state": status.vm.state.value,
                "draining": status.draining,
                "voter": status.voter,
                "may_go": status.may_go and not blocked,
                "reasons": [*status.reasons, *blocked],
            }
            for status in fleet_status(vms, voters, draining)
        ]
        remaining = sum(row["state"] != VmState.GONE.value for row in rows)
        return JSONResponse({"vms": rows, "count": remaining})

    async def _documents(self, request: Request) -> Response:
        message = {"origins": "origins" in request.query_params}
        return JSONResponse(
            await self.control.query(
                "configuration.documents", message, QUERY_TIMEOUT_S
            )
        )

    async def _history(self, request: Request) -> Response:
        message = {"limit": int(_number_parameter(request, "limit", 20))}
        return JSONResponse(
            await self.control.query("configuration.history", message, QUERY_TIMEOUT_S)
        )

    async def _progress(self, request: Request) -> Response:
        revision = int(_number_parameter(request, "revision", 0))
        accepted_for_s = _number_parameter(request, "accepted_for_s", 0.0)
        progress = await self.progress.fetch(revision, accepted_for_s)
        return JSONResponse(attrs.asdict(progress))

    async def _apply(self, request: Request) -> Response:
        return await self._propose(APPLY, await _json_body(request, APPLY_FIELDS))

    async def _change(self, request: Request) -> Response:
        return await self._propose(CHANGE, await _json_body(request, CHANGE_FIELDS))

    async def _propose(self, command: str, message: Message) -> Response:
        message["wall_time_s"] = self.timer.wall_time_s()
        proposal_result = await self.control.propose(
            command, message, PROPOSE_TIMEOUT_S
        )
        events.emit(
            CHANGE_ANSWERED,
            command=command,
            number=message["number"],
            operator=message["operator"],
            outcome=proposal_result["outcome"],
            revision=proposal_result["revision"],
        )
        return JSONResponse(
            proposal_result, status_code=STATUS_BY_OUTCOME[proposal_result["outcome"]]
        )

    async def _control(self, request: Request) -> Response:
        return JSONResponse(attrs.asdict(await self.voters.status()))

    async def _change_voters(self, request: Request) -> Response:
        operation = request.path_params["operation"]
        body = await _json_body(request, {"replica": str, "address": str})
        replica, address = body["replica"], body["address"]
        if operation == "add":
            result = await self.voters.add(address)
        elif operation == "remove":
            result = await self.voters.remove(replica)
        elif operation == "replace":
            result = await self.voters.replace(replica, address)
        else:
            raise errors.RequestError(404, f"no operation {operation!r}")
        events.emit(
            VOTERS_CHANGED,
            operation=operation,
            replica=replica,
            address=address,
            done=result.done,
        )
        return JSONResponse(attrs.asdict(result))

    async def _drain(self, request: Request) -> Response:
        self.drain.begin("operator")
        return JSONResponse({"vm": self.vm.name, "state": self.drain.state.value})


def _error_response(status: int, code: str, text: str) -> Response:
    return JSONResponse({"error": code, "detail": text}, status_code=status)


def _response_for_error(error: errors.EndivesillError) -> Response:
    for kind, status, code in STATUS_BY_ERROR:
        if isinstance(error, kind):
            return _error_response(status, code, str(error))
    raise error


def _number_parameter(request: Request, name: str, default: float) -> float:
    text = request.query_params.get(name, str(default))
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise errors.RequestError(400, f"{name} is not a number", name)
    return number


async def _json_body(request: Request, fields: dict[str, type]) -> dict[str, Any]:
    """Return the request's JSON body, which must have exactly the given fields.

    Raises:
      RequestError: the body is not such an object (400).
    """
    try:
        body = parse_json(await request.body())
    except ValueError:
        raise errors.RequestError(400, "the body is not JSON") from None
    if not isinstance(body, dict) or body.keys() != fields.keys():
        names = ", ".join(sorted(fields))
        raise errors.RequestError(400, f"the body needs the fields {names}")
    for name, kind in fields.items():
        value = body[name]
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise errors.RequestError(400, f"{name} has the wrong type", name)
    return body
