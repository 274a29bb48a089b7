"""Shared foundations: the settings file, the log and the disk. Imports no other package of sableford."""
