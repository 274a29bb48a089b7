"""The store: a durable, replicated message queue and the deliveries from it to workers."""
