"""The simulator's wire: framing, names, units and instances. It decides nothing."""
