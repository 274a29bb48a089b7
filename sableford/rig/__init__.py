"""The rig: several real processes of the program among stand-ins, and faults between them. Loopback only."""
