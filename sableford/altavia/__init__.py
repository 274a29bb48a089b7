"""Alta Via, the way between huts: what every process of the system shares to speak with the others.

Netstrings of JSON over held connections (`links`), HTTP/1.1 for outside callers (`http`), and the verdict on
whether a request may have run (`verdict`).
"""

from sableford.altavia.links import Broken, Link, Ways
from sableford.altavia.verdict import Ran, Verdict

__all__ = ["Broken", "Link", "Ran", "Verdict", "Ways"]
