"""sableford: a message ingest and dispatch service.

It accepts messages from clients and dispatches them to workers, which it selects by load reports that may be
out of date.
"""

__version__ = "0.2.0"
