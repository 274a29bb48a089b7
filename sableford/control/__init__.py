"""The control plane.

Membership, shard ownership and the list of workers are soft state under leases, in the leader's memory. The
operator's configuration, the roster of stores and the holder of each duty are replicated to a majority of
disks.
"""
