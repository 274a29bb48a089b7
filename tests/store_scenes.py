"""What the tests of a store's queue share."""

from sableford.store.protocol import PutRequest

# Of a message without an order key, on the route of `sableford.simulation.stores.DOC` that keeps no order.
PUT = PutRequest(
    ref="00-a",
    shard=0,
    key="",
    id="a",
    host="h",
    target="/b",
    method="POST",
    delay_ms=0.0,
    age_ms=0.0,
    revision=1,
)
