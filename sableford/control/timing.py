"""Time-outs of leases and of what members wait for, in ms, each with its reason."""

LEASE_MS = 1000.0  # longer than most elections; what is sent to a silent store waits for it to run out
RENEW_MS = 200.0  # between renewals: four in a lease may be lost
QUORUM_FRESH_MS = 300.0  # since a majority's answer, in which a leader goes on granting leases and shards
JOIN_WAIT_MS = 400.0  # that a new leader gives stores to join before it takes those missing for gone
JOIN_TRANSIT_MS = 100.0  # that a request to join may have been under way, at most, where its age counts
APPLY_WAIT_MS = 600.0  # that an acknowledgement to the outside waits for members to apply what it is about
ABSENT_MS = 1600.0  # a store may be away before the others do without it, where no bound is given
