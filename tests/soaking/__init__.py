"""Soak test of the whole system: real processes, stand-in workers, clients and an operator, from a seed.

`plan` generates a scenario from the seed, `scenario` runs it, `history` holds what clients, workers and the
operator observed, and `checker` checks that history against the rules. Only what is observable from
outside counts; the system's internal state is never read.
"""
