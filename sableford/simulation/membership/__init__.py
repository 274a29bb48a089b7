"""Who votes and who stands in the roster, in simulated time: stores that are lost, replaced and emptied."""
