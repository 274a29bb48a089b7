"""Maps the method and path of a request to an API call, by a tree of path segments.

>>> leave = {ANY: {"leave": {"POST": "leave"}}}
>>> tree = PathRouter({"v1": {"config": {"read": {"GET": "read"}}, "instances": leave}})
>>> tree.find("POST", "/v1/instances/i-7/leave")
('leave', ['i-7'])
>>> tree.find("GET", "/v1/instances/i-7/leave"), tree.find("GET", "/v2")
((405, []), (404, []))
"""

from typing import Any
from urllib.parse import unquote

ANY = "*"  # matches any path segment, which is passed to the call


class PathRouter:
    """`branches` maps path segments to subtrees, and methods to calls."""

    def __init__(self, branches: dict[str, Any]) -> None:
        self._branches = branches

    def find(self, method: str, path: str) -> tuple[Any, list[str]]:
        """The call and the path segments that ANY matched, or 404 or 405 if there is none."""
        branch, matched = self._branches, []
        for segment in path.strip("/").split("/"):
            if segment in branch and segment != ANY and isinstance(branch[segment], dict):
                branch = branch[segment]
            elif ANY in branch:
                matched.append(unquote(segment))
                branch = branch[ANY]
            else:
                return 404, []
        if method in branch and not isinstance(branch[method], dict):
            return branch[method], matched
        return (405, []) if any(not isinstance(leaf, dict) for leaf in branch.values()) else (404, [])
