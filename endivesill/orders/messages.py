"""Typed messages of orders, and how they stand in the replicated state."""

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
    "shows_order",
]


class OrderKind(enum.Enum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    CHANGE_ROLE = "change-role"


LOAD_KINDS = frozenset((OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER))


class OrderState(enum.Enum):
    """How far an order is.

    SENT: it may be on its way. DONE: the engine has done it. REFUSED: the engine
    did not take it. NOT_SENT: no byte of it went out. UNSEEN: the engine never
    showed it; it is not sent again, a new order may be given.
    """

    SENT = "sent"
    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    UNSEEN = "unseen"


@attrs.frozen
class OrderRequest:
    """An order that somebody wants an engine to get.

    Attributes:
      order_id: the same for each try; an id runs once.
      target: the engine's name.
      kind: what to do.
      subject: the model, adapter or role.
      version: the version to load; empty for a role.
    """

    order_id: str
    target: str
    kind: OrderKind
    subject: str
    version: str = ""

    def to_message(self) -> Message:
        """Return the request's JSON object."""
        message = attrs.asdict(self)
        message["kind"] = self.kind.value
        return message

    @classmethod
    def from_message(cls, message: Message) -> OrderRequest:
        """Read a JSON object.

        Raises:
          PeerMessageError: it is no order.
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
            raise errors.PeerMessageError(f"no order: {error!r}") from None

    def to_order(self, fencing_token: int) -> Order:
        """Return what goes to the engine."""
        return Order(
            self.order_id, fencing_token, self.kind.value, self.subject, self.version
        )


@attrs.frozen
class OrderRecord:
    """An order as the replicated state keeps it.

    Attributes:
      request: what was ordered.
      token: the fencing token that it went out with.
      state: how far it is.
    """

    request: OrderRequest
    token: int
    state: OrderState

    def to_message(self) -> Message:
        """Return the record's JSON object."""
        message = self.request.to_message()
        return {**message, "token": self.token, "state": self.state.value}

    @classmethod
    def from_message(cls, message: Message) -> OrderRecord:
        """Read a JSON object.

        Raises:
          PeerMessageError: it is no record.
        """
        request = OrderRequest.from_message(message)
        try:
            state = OrderState(message["state"])
            return cls(request, int(message["token"]), state)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.PeerMessageError(f"no order record: {error!r}") from None


def shows_order(report: LoadReport, request: OrderRequest) -> bool | None:
    """Tell whether an engine's state shows that an order was carried out.

    Returns:
      None if the engine names what was loaded without its version, so that it
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
