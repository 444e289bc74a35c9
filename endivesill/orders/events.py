"""Log events of orders and placement."""

from endivesill import events

ORDERER_ACQUIRED = events.define(
    8001, "orderer-acquired", "This VM became the orderer of a data centre."
)
ORDERER_LOST = events.define(
    8002, "orderer-lost", "This VM lost the orderer lease of a data centre."
)
ORDERER_WAITING = events.define(
    8003, "orderer-waiting", "This VM waits for the lease of another orderer to expire."
)
ORDER_SENT = events.define(8010, "order-sent", "An order is being sent to an engine.")
ORDER_ENDED = events.define(
    8011, "order-ended", "The outcome of an order was recorded."
)
ORDER_REPEATED = events.define(
    8012, "order-repeated", "An order with a known id was not sent again."
)
ORDER_DELAYED = events.define(
    8013, "order-delayed", "A load is delayed by the rate limit of the weight store."
)
ORDER_WITHHELD = events.define(
    8014, "order-withheld", "An order was not sent: too little of the lease remains."
)
PLACEMENT_DECIDED = events.define(
    8100,
    "placement-decided",
    "Placement decided to change the model or role of an engine.",
)
PLACEMENT_HELD = events.define(
    8101,
    "placement-held",
    "A placement change is proposed but must persist for the hold time.",
)
PLACEMENT_FAILED = events.define(
    8102, "placement-failed", "A placement decision could not be carried out."
)
