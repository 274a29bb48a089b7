"""The whole control side in simulated time: stores, edges, operators and workers, played on one deterministic
event loop with a simulated network and disks, while judges that stand outside watch what callers were told.
"""
