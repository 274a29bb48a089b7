"""Whose request it is, by the key in its Authorization header. No I/O.

| route | key | tenant |
| --- | --- | --- |
| any, the configuration names no tenants | not looked at | none |
| not public | known | the key's |
| not public | none, another scheme, unknown | UnauthorizedError |
| public | known | the key's |
| public | none, another scheme, unknown | none |
"""

import re

from sableford.transport.http import Request
from sableford.transport.routes import Route, Table

SCHEME = "Token"
CREDENTIALS = re.compile(rb"token +([!-~\x80-\xff]+)", re.IGNORECASE)  # RFC 9110, section 11.4
NO_TENANT = ""


class UnauthorizedError(Exception):
    """A request that needs a key and has none that the configuration knows. It never names the key."""


def authenticate(request: Request, route: Route, table: Table) -> str:
    """The tenant that sends a message to `route`; NO_TENANT where it needs none. Raises UnauthorizedError."""
    if not table.has_tenants:
        return NO_TENANT
    tenant = _tenant_of(request, table)
    if tenant is not None:
        return tenant
    if route.public:
        return NO_TENANT
    raise UnauthorizedError


def authenticate_reader(request: Request, table: Table) -> str:
    """The tenant that asks for what belongs to one. Raises UnauthorizedError."""
    tenant = _tenant_of(request, table)
    if tenant is None:
        raise UnauthorizedError
    return tenant


def _tenant_of(request: Request, table: Table) -> str | None:
    credentials = CREDENTIALS.fullmatch((request.get(b"authorization") or "").encode("latin-1").strip(b" \t"))
    return table.tenant_of(credentials[1]) if credentials is not None else None
