"""Log events of orders and placement."""

from endivesill import events

ORDERER_ACQUIRED = events.define(
    8001, "orderer-acquired", "This VM gives the orders of a data centre."
)
ORDERER_LOST = events.define(
    8002, "orderer-lost", "This VM gives the orders of a data centre no longer."
)
ORDERER_WAITING = events.define(
    8003, "orderer-waiting", "This VM waits out another orderer's lease."
)
ORDER_SENT = events.define(8010, "order-sent", "An order goes to an engine.")
ORDER_ENDED = events.define(8011, "order-ended", "The outcome of an order is recorded.")
ORDER_REPEATED = events.define(
    8012, "order-repeated", "An order with a known id gets its first answer."
)
ORDER_DELAYED = events.define(
    8013, "order-delayed", "A load waits for the weight store's rate."
)
ORDER_WITHHELD = events.define(
    8014, "order-withheld", "An order was not sent, as the lease is too short."
)
PLACEMENT_DECIDED = events.define(
    8100, "placement-decided", "An engine is to get another model or role."
)
PLACEMENT_HELD = events.define(
    8101, "placement-held", "Demand has shifted, but nothing is moved yet."
)
PLACEMENT_FAILED = events.define(
    8102, "placement-failed", "A placement was decided and did not come about."
)
