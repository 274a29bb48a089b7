"""Parses the settings of a scheduler into its configuration and what its host needs.

Used by both hosts; independent of their protocols.
"""

from math import isfinite
from typing import Annotated, NamedTuple

import msgspec

from sableford.model import Account, Obligations, ProtocolLimits, Repeats, SchedulerConfig, Scheme, Scope

_REPEATS = {"safe": Repeats.REPEATABLE, "keyed": Repeats.REFERENCED, "unsafe": Repeats.ONCE_ONLY}
_SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class SchedulerSettings(NamedTuple):
    """Parsed settings. Names are in index order and include removed ones; times are in ms."""

    config: SchedulerConfig
    schemes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    load_columns: tuple[str, ...]
    idle_timeout: float
    connect_timeout: float
    accepted_schemes: frozenset[str] = frozenset()  # names that clients may use


class _Scheme(msgspec.Struct):
    effect: str
    sla_time_s: float
    expiry_s: float
    earnings: float = 1.0
    name: str = ""
    dedup_scope: str = "cell"
    memory_span_s: float = 0.0
    aim_stretch: float | None = None
    tardy_earnings: float = 0.0


class _Limits(msgspec.Struct):
    most_postings: Annotated[int, msgspec.Meta(ge=1)]
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_s: float = 0.0
    conn_idle_s: float = 5.0
    connect_timeout_s: float = 0.25


class _Obligations(msgspec.Struct):
    overload_factor: float
    fall_s: float
    start_capacity: float
    warm_within_s: float
    ask_within_s: float = 10.0
    soft_removal: bool = False
    busy_is_no_proof: bool = False
    start_drift_s: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0


class _ScoringMix(msgspec.Struct):
    punctual: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    miss_allowed: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0


class _LoadInfo(msgspec.Struct):
    columns: list[str] = []
    via: str = "off"


class _Tenant(msgspec.Struct):
    allowance_per_s: float = 0.0


class _Prices(msgspec.Struct):
    cross_zone: float = 0.0


class _Specifics(msgspec.Struct):
    class_kind: list[int] = []
    class_stretch: list[float] = []
    progress_s: float = 0.0
    report_x0: str = ""
    report_x1: str = ""
    tells_start: bool = False


class _Profile(msgspec.Struct):
    instances: Annotated[int, msgspec.Meta(ge=1)]
    schemes: list[_Scheme]
    limits: _Limits
    obligations: _Obligations
    position: int = 0
    zone: int = 0
    load_info: _LoadInfo = msgspec.field(default_factory=_LoadInfo)
    specifics: _Specifics = msgspec.field(default_factory=_Specifics)
    prices: _Prices = msgspec.field(default_factory=_Prices)
    scoring_mix: _ScoringMix = msgspec.field(default_factory=_ScoringMix)
    tenants: list[_Tenant] = []
    zones: list[str] = []
    skus: list[str] = []
    overage_earnings: float = 1.0
    weights: str = "off"
    registry_mode: str = "automatic"
    earnings_by: str = "request"


_decoder = msgspec.json.Decoder(_Profile)


def _nth(values: list, at: int, default):
    return values[at] if at < len(values) else default


def _scheme(at: int, given: _Scheme, specifics: _Specifics) -> Scheme:
    if given.effect not in _REPEATS:
        raise ValueError(f"schemes[{at}].effect: unknown word {given.effect!r}")
    for field in ("sla_time_s", "expiry_s"):
        if not 0.0 < getattr(given, field) < float("inf"):
            raise ValueError(f"schemes[{at}].{field}: not a positive number")
    if not 0.0 <= given.tardy_earnings <= 1.0:
        raise ValueError(f"schemes[{at}].tardy_earnings: not a part of the earnings")
    if not isfinite(given.earnings) or not isfinite(given.memory_span_s):
        raise ValueError(f"schemes[{at}]: not a finite number")
    stretch = given.aim_stretch if given.aim_stretch is not None else _nth(specifics.class_stretch, at, 0.0)
    return Scheme(
        repeats=_REPEATS[given.effect],
        scope=_SCOPES.get(given.dedup_scope, Scope.CELL),
        span=given.memory_span_s * 1000.0,
        sla=given.sla_time_s * 1000.0,
        stretch=stretch,
        expiry=given.expiry_s * 1000.0,
        earnings=given.earnings,
        tardy=given.tardy_earnings,
        kind=_nth(specifics.class_kind, at, -1),
    )


def _known_value(field: str, given: str, known: tuple[str, ...]) -> str:
    if given not in known:
        raise ValueError(f"{field}: unknown word {given!r}")
    return given


def parse_settings(text: bytes) -> SchedulerSettings:
    """Parses the settings; raises ValueError that names a missing or invalid one."""
    try:
        profile = _decoder.decode(text)
    except msgspec.MsgspecError as error:
        raise ValueError(f"settings: {error}") from error
    names = [given.name for given in profile.schemes if given.name]
    if not profile.schemes:
        raise ValueError("settings: schemes: none")
    if len(set(names)) < len(names):
        raise ValueError(f"settings: schemes: a name twice: {max(names, key=names.count)!r}")
    columns = profile.load_info.columns if profile.load_info.via != "off" else []
    specifics, limits, obligations = profile.specifics, profile.limits, profile.obligations
    column = {name: at for at, name in enumerate(columns)}
    by_meaning = {specifics.report_x0: column.get("x0", -1), specifics.report_x1: column.get("x1", -1)}
    config = SchedulerConfig(
        schedulers=profile.instances,
        position=profile.position,
        zone=profile.zone,
        schemes=tuple(_scheme(at, given, specifics) for at, given in enumerate(profile.schemes)),
        accounts=tuple(Account(tenant.allowance_per_s) for tenant in profile.tenants),
        obligations=Obligations(
            obligations.start_capacity,
            obligations.warm_within_s * 1000.0,
            obligations.overload_factor,
            obligations.fall_s * 1000.0,
            obligations.soft_removal,
            obligations.busy_is_no_proof,
            obligations.start_drift_s * 1000.0,
        ),
        limits=ProtocolLimits(
            postings=limits.most_postings,
            call_off=limits.may_cancel,
            probes=limits.probes,
            pause=limits.max_retry_after_s * 1000.0 if limits.retry_after else 0.0,
            overage=profile.overage_earnings,
            crossing=profile.prices.cross_zone,
        ),
        start_known=specifics.tells_start,
        progress=specifics.progress_s * 1000.0,
        live_ratings=_known_value("weights", profile.weights, ("off", "nominal", "rough", "live")) == "live",
        subscribes=profile.registry_mode == "subscribe",
        ask_within=obligations.ask_within_s * 1000.0 if profile.registry_mode == "subscribe" else 0.0,
        waiting=column.get("depth", -1),
        handled=column.get("concurrent", -1),
        free_slots=by_meaning.get("free slots", -1),
        notify_peers=limits.peers and profile.instances > 1,
        punctual=profile.scoring_mix.punctual > 0.0 and profile.scoring_mix.miss_allowed < 1.0,
        by_work=_known_value("earnings_by", profile.earnings_by, ("request", "work")) == "work",
    )
    return SchedulerSettings(
        config,
        schemes=tuple(given.name for given in profile.schemes),
        zones=tuple(profile.zones),
        kinds=tuple(profile.skus),
        load_columns=tuple(columns),
        idle_timeout=limits.conn_idle_s * 1000.0,
        connect_timeout=limits.connect_timeout_s * 1000.0,
        accepted_schemes=frozenset(names),
    )


def _append_new(now: tuple[str, ...], new: tuple[str, ...]) -> tuple[str, ...]:
    """
    >>> _append_new(("a", "b"), ("c", "b"))
    ('a', 'b', 'c')
    """
    return now + tuple(name for name in new if name not in now)


def merge_settings(now: SchedulerSettings, new: SchedulerSettings) -> SchedulerSettings:
    """Returns the new settings; known schemes, zones and kinds keep their indices, also removed ones.

    The way in which the worker list is obtained can't change while the process runs.
    """
    schemes, zones, kinds = (_append_new(now[at], new[at]) for at in (1, 2, 3))

    def scheme(at: int, name: str) -> Scheme:
        if name not in new.schemes:
            return now.config.schemes[at]
        given = new.config.schemes[new.schemes.index(name)]
        known = 0 <= given.kind < len(new.kinds)
        return given._replace(kind=kinds.index(new.kinds[given.kind])) if known else given

    zone = new.config.zone
    config = new.config._replace(
        schemes=tuple(scheme(at, name) for at, name in enumerate(schemes)),
        zone=zones.index(new.zones[zone]) if zone < len(new.zones) else zone,
        subscribes=now.config.subscribes,
        ask_within=now.config.ask_within,
    )
    return new._replace(config=config, schemes=schemes, zones=zones, kinds=kinds)
