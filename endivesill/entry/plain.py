"""Answers of plain services, with and without an idempotency key."""

from __future__ import annotations

from endivesill import errors
from endivesill.configuration.model import Limits
from endivesill.entry.claims import Claim, ClaimState, Result, request_digest
from endivesill.entry.context import EntryContext
from endivesill.entry.exchange import PlainExchange
from endivesill.entry.http import Answer, raw_headers
from endivesill.entry.plain_request import KEY_HEADER, PlainRequest

__all__ = ["answer_plain"]

REPLAYED_HEADER = (b"idempotency-replayed", b"true")
STILL_RUNNING_RETRY_AFTER_S = 5.0


async def answer_plain(
    context: EntryContext, answer: Answer, call: PlainRequest
) -> None:
    """Answer a call to a plain service.

    Raises:
      EndivesillError: it was not answered.
    """
    limits = context.index.current().configuration.limits
    context.check_lease()
    if call.key is None:
        await PlainExchange(context, answer, call, limits).run()
        return
    digest = request_digest(call.method, call.path, call.body)
    claim = await context.claims.claim(
        call.organisation, call.service, call.key, digest, limits, answer.request_id
    )
    if claim.state is not ClaimState.CLAIMED:
        await _answer_known(answer, claim)
        return
    await _answer_claimed(context, answer, call, claim, limits)


async def _answer_known(answer: Answer, claim: Claim) -> None:
    """Answer a key that another request has claimed before."""
    if claim.state is ClaimState.MISMATCH:
        detail = "the key was used for another request"
        raise errors.RequestError(422, detail, KEY_HEADER)
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
    if claim.answer is None:
        raise errors.RefusedError("answer-not-kept", run=unknown, status=409)
    kept = raw_headers(claim.answer.headers)
    headers = [pair for pair in kept if pair[0].lower() != b"content-length"]
    headers.append(REPLAYED_HEADER)
    await answer.whole(claim.answer.status, headers, claim.answer.body)


async def _answer_claimed(
    context: EntryContext,
    answer: Answer,
    call: PlainRequest,
    claim: Claim,
    limits: Limits,
) -> None:
    """Run a call whose key is claimed and record its outcome."""
    exchange = PlainExchange(context, answer, call, limits)
    try:
        await exchange.run()
    except (errors.TargetError, errors.RefusedError) as error:
        is_released = error.run is errors.RunState.NOT_RUN
        result = Result.RELEASED if is_released else Result.UNKNOWN
        await context.claims.finish(claim, result)
        raise
    except Exception:
        await context.claims.finish(claim, Result.UNKNOWN)
        raise
    await context.claims.finish(claim, Result.DONE, exchange.stored_answer())
