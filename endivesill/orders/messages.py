"""Typed order messages and their form in the replicated state."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from endivesill import errors
from endivesill.peers import Message
from endivesill.targets.messages import LoadReport, Order

__all__ = [
    "LOAD_KINDS",
    "OrderKind",
    "OrderRecord",
    "OrderRequest",
    "OrderState",
    "is_order_applied",
]


class OrderKind(enum.Enum):
    """Kind of an order."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    CHANGE_ROLE = "change-role"


LOAD_KINDS = frozenset((OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER))


class OrderState(enum.Enum):
    """State of an order.

    SENT: it may have been sent; the outcome is not known. DONE: the engine applied
    it. REFUSED: the engine rejected it. NOT_SENT: no byte of it was sent. UNSEEN:
    the engine's reports never showed it as applied; it is not sent again, but a
    new order may be issued.
    """

    SENT = "sent"
    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    UNSEEN = "unseen"


@attrs.frozen
class OrderRequest:
    """A request to issue an order to an engine.

    Attributes:
      order_id: the id, the same for each retry; an id is sent at most once.
      target: the name of the engine.
      kind: the kind of the order.
      subject: the model, adapter or role.
      version: the version to load; empty for any version or for a role.
    """

    order_id: str
    target: str
    kind: OrderKind
    subject: str
    version: str = ""

    def to_message(self) -> Message:
        """Return the request as a JSON object."""
        message = attrs.asdict(self)
        message["kind"] = self.kind.value
        return message

    @classmethod
    def from_message(cls, message: Message) -> OrderRequest:
        """Decode a JSON object.

        Raises:
          PeerMessageError: the object is not a valid order.
        """
        try:
            return cls(
                str(message["order_id"]),
                str(message["target"]),
                OrderKind(message["kind"]),
                str(message["subject"]),
                str(message.get("version", "")),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise errors.PeerMessageError(f"malformed order: {error!r}") from None

    def to_order(self, fencing_token: int) -> Order:
        """Return the order as sent to the engine."""
        return Order(
            self.order_id, fencing_token, self.kind.value, self.subject, self.version
        )


@attrs.frozen
class OrderRecord:
    """An order as stored in the replicated state.

    Attributes:
      request: the request.
      token: the fencing token with which the order was recorded.
      state: the state of the order.
    """

    request: OrderRequest
    token: int
    state: OrderState

    def to_message(self) -> Message:
        """Return the record as a JSON object."""
        message = self.request.to_message()
        return {**message, "token": self.token, "state": self.state.value}

    @classmethod
    def from_message(cls, message: Message) -> OrderRecord:
        """Decode a JSON object.

        Raises:
          PeerMessageError: the object is not a valid record.
        """
        request = OrderRequest.from_message(message)
        try:
            state = OrderState(message["state"])
            return cls(request, int(message["token"]), state)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.PeerMessageError(
                f"malformed order record: {error!r}"
            ) from None


def is_order_applied(report: LoadReport, request: OrderRequest) -> bool | None:
    """Return whether an engine's report shows that an order was applied.

    Returns:
      None if the engine reports the model or adapter without a version, so that it
      may be an older one.
    """
    if request.kind is OrderKind.CHANGE_ROLE:
        return report.role == request.subject
    loaded: tuple[Any, ...] = report.adapters
    if request.kind is OrderKind.LOAD_MODEL:
        loaded = (report.model,)
    if not request.version:
        return request.subject in loaded
    if f"{request.subject}@{request.version}" in loaded:
        return True
    return None if request.subject in loaded else False
