"""What a caller is told when the last attempt at a target has failed."""

from __future__ import annotations

from endivesill import errors

__all__ = ["final_error"]

RETRY_AFTER_S = 1.0


def final_error(
    error: errors.TargetError, run: errors.RunState
) -> errors.EndivesillError:
    """Return the error for the caller.

    Args:
      error: how the last attempt failed.
      run: what is known over all attempts.
    """
    if run is errors.RunState.UNKNOWN:
        return errors.TargetError(str(error))
    return errors.RefusedError(_reason(error), retry_after_s=RETRY_AFTER_S)


def _reason(error: errors.TargetError) -> str:
    if isinstance(error, errors.GrantExpiredError):
        return "grant-expired"
    if isinstance(error, errors.TargetUnreachableError):
        return "target-unreachable"
    return "target-refused"
