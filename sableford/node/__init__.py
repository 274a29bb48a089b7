"""The program of the system's machines: its command line, and what every process does besides its role."""
