"""Time-outs of leases and waits, in ms."""

LEASE_MS = 1000.0  # longer than most elections; requests to a silent store wait until its lease expires
RENEW_MS = 200.0  # between renewals: four per lease may be lost
QUORUM_FRESH_MS = 300.0  # after a majority's answer, for which a leader goes on granting leases and shards
JOIN_WAIT_MS = 400.0  # that a new leader gives stores to join before it treats missing ones as gone
JOIN_TRANSIT_MS = 100.0  # upper bound of a join request's time in transit, where its age matters
APPLY_WAIT_MS = 600.0  # that an acknowledgement to a client waits for members to apply the update
ABSENT_MS = 1600.0  # that a store may be absent before it may be removed, where no limit is given
