"""Authentication of requests by the API key in the Authorization header. No I/O.

| route | key | tenant |
| --- | --- | --- |
| any, and the configuration defines no tenants | ignored | none |
| not public | known | the key's owner |
| not public | missing, unknown or of another scheme | UnauthorizedError |
| public | known | the key's owner |
| public | missing, unknown or of another scheme | none |
"""

import re

from sableford.transport.http import HttpRequest
from sableford.transport.routes import Route, RoutingTable

SCHEME = "Token"
CREDENTIALS = re.compile(rb"token +([!-~\x80-\xff]+)", re.IGNORECASE)  # RFC 9110, section 11.4
NO_TENANT = ""


class UnauthorizedError(Exception):
    """The request needs a key and has none that the configuration knows. The error never contains the key."""


def authenticate(request: HttpRequest, route: Route, table: RoutingTable) -> str:
    """Returns the tenant that sends a message to `route`, or NO_TENANT if none is needed.

    Raises UnauthorizedError."""
    if not table.has_tenants:
        return NO_TENANT
    tenant = _tenant_of(request, table)
    if tenant is not None:
        return tenant
    if route.public:
        return NO_TENANT
    raise UnauthorizedError


def authenticate_reader(request: HttpRequest, table: RoutingTable) -> str:
    """Returns the tenant that reads tenant data. Raises UnauthorizedError."""
    tenant = _tenant_of(request, table)
    if tenant is None:
        raise UnauthorizedError
    return tenant


def _tenant_of(request: HttpRequest, table: RoutingTable) -> str | None:
    credentials = CREDENTIALS.fullmatch((request.get(b"authorization") or "").encode("latin-1").strip(b" \t"))
    return table.tenant_of(credentials[1]) if credentials is not None else None
