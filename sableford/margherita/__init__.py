"""Capanna Margherita, the hut that keeps what is brought up: the durable queue and the deliveries out of
it."""
