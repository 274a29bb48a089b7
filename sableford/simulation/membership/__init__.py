"""Simulation of voters and roster in simulated time: stores that fail, are replaced and are retired."""
