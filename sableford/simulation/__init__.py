"""Parts of the system under simulated time: the code that is in service, with a simulated network, disks and
faults around it, and judges of what callers saw. Nothing that a machine runs imports it.
"""
