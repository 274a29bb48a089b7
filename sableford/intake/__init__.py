"""Shared by both hosts: parsing of settings, and mapping of ids to indices."""
