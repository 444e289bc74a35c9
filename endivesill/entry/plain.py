"""Calls to plain services, with and without an idempotency key."""

from __future__ import annotations

from endivesill import errors
from endivesill.configuration.model import Limits
from endivesill.entry.claims import Claim, ClaimResult, ClaimState, request_digest
from endivesill.entry.context import EntryContext
from endivesill.entry.exchange import PlainExchange
from endivesill.entry.http import Response, raw_headers
from endivesill.entry.plain_request import IDEMPOTENCY_KEY_HEADER, PlainRequest

__all__ = ["handle_plain_call"]

REPLAYED_HEADER = (b"idempotency-replayed", b"true")
STILL_RUNNING_RETRY_AFTER_S = 5.0


async def handle_plain_call(
    context: EntryContext, response: Response, call: PlainRequest
) -> None:
    """Run a call to a plain service, or replay its stored response.

    Raises:
      EndivesillError: the call was refused or failed.
    """
    limits = context.index.current().configuration.limits
    context.check_lease()
    if call.key is None:
        await PlainExchange(context, response, call, limits).run()
        return
    digest = request_digest(call.method, call.path, call.body)
    claim = await context.claims.claim(
        call.organisation, call.service, call.key, digest, limits, response.request_id
    )
    if claim.state is not ClaimState.CLAIMED:
        await _respond_to_known_key(response, claim)
        return
    await _run_claimed_call(context, response, call, claim, limits)


async def _respond_to_known_key(response: Response, claim: Claim) -> None:
    """Respond to a request whose key has already been claimed."""
    if claim.state is ClaimState.MISMATCH:
        detail = "the key was used for another request"
        raise errors.RequestError(422, detail, IDEMPOTENCY_KEY_HEADER)
    unknown = errors.RunState.UNKNOWN
    if claim.state is ClaimState.RUNNING:
        raise errors.RefusedError(
            "still-running",
            run=unknown,
            status=409,
            retry_after_s=STILL_RUNNING_RETRY_AFTER_S,
        )
    if claim.state is ClaimState.UNKNOWN:
        raise errors.RefusedError("outcome-unknown", run=unknown, status=409)
    if claim.response is None:
        raise errors.RefusedError("answer-not-kept", run=unknown, status=409)
    stored_headers = raw_headers(claim.response.headers)
    headers = [pair for pair in stored_headers if pair[0].lower() != b"content-length"]
    headers.append(REPLAYED_HEADER)
    await response.send_complete(claim.response.status, headers, claim.response.body)


async def _run_claimed_call(
    context: EntryContext,
    response: Response,
    call: PlainRequest,
    claim: Claim,
    limits: Limits,
) -> None:
    """Run a call whose key this entry has claimed, and record its outcome."""
    exchange = PlainExchange(context, response, call, limits)
    try:
        await exchange.run()
    except (errors.TargetError, errors.RefusedError) as error:
        is_released = error.run is errors.RunState.NOT_RUN
        result = ClaimResult.RELEASED if is_released else ClaimResult.UNKNOWN
        await context.claims.finish(claim, result)
        raise
    except Exception:
        await context.claims.finish(claim, ClaimResult.UNKNOWN)
        raise
    await context.claims.finish(claim, ClaimResult.DONE, exchange.stored_response())
