"""Faults that a review of tenants and duties looked for: settings and amendments with odd values."""

from sableford.control.configuration import InvalidRequestError, amended
from sableford.duties.platform_client import Verdict
from tests.duty_platform import CALL, OK, StandIn, played


# A duty that nobody does any more: its holder's task had ended on a name that fits no header's encoding.
def shows_a_node_s_name_in_any_script_is_sent() -> None:
    stand_in = StandIn(OK)

    async def scene(client) -> None:
        client._node = "Ploče-1-щ"
        assert (await client.post(CALL, 60_000.0, lambda: True)).verdict is Verdict.ACCEPTED

    played(stand_in, scene)
    assert "Duty-Holder: Ploče-1-щ" in stand_in.heads[0]


# A malformed amendment was taken where the configuration had no tenants.
def shows_names_to_remove_are_a_list_where_there_are_no_tenants_either() -> None:
    doc = {"revision": 1, "routes": [], "backends": []}
    for names in ("a", 5, [5], {"a": 1}):
        try:
            amended(doc, {"revision": 2, "remove": {"tenants": names}})
        except InvalidRequestError as problem:
            assert "remove.tenants" in str(problem)
        else:
            raise AssertionError(names)
