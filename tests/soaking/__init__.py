"""A soak of the whole system: real processes, stand-in workers, clients and an operator, drawn from a seed.

`plan` draws what is done, `scene` plays it, `record` holds what clients, workers and the operator saw, and
`judge` holds that against the rules. Nothing of the system's own state is asked for.
"""
