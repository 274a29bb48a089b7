"""The settings file of a process. Unknown fields are ignored."""

import os
from pathlib import Path

import msgspec
import yaml

PATH_VARIABLE = "SABLEFORD_SETTINGS"
DEFAULT_PATH = "/etc/sableford/settings.yaml"
USAGE_REPORT = "usage_report"  # a value of `cloudApi.dutySet`

# The values of `ruleParts` that this program implements.
KNOWN_RULE_PARTS = frozenset(
    ("base", "drain", "config", "cost", "ingest", "recover", "health", "pool", "tenants", "leader")
)


class SettingsError(Exception):
    """The settings file is invalid. The message is one line with the file, the field and the fault."""


class Limits(msgspec.Struct, rename="camel"):
    cpu_share: float = 1.0
    cpu_cores: float = 1
    memory_mb: float = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0


class BindAddresses(msgspec.Struct, rename="camel"):
    public_http: str | None = None
    ready_probe: str | None = None
    control_rpc: str | None = None


class FaultTolerance(msgspec.Struct, rename="camel"):
    machine_loss: int = 0
    zones: int = 0
    region_loss: int = 0


class RuleBounds(msgspec.Struct, rename="camel"):
    """The time limits of `ruleBounds`, in ms or seconds as the names say."""

    seed_stale_s: float = 3
    addr_reuse_s: float = 2
    quiet_ms: float = 4000
    order_ack_ms: float = 5000
    sync_s: float = 4
    drain_ms: float = 3000
    grace_s: float = 6
    apply_ms: float = 3000
    revoke_ms: float | None = None
    recovery_s: float = 12
    done_s: float = 10
    status_ttl_s: float = 120
    not_before_ms: float = 100
    ceiling_window_s: float = 5
    origin_excess: float = 1.1
    fencing: bool = False
    lease_ms: float = 3000
    thaw_slack_ms: float = 300
    usage_window_s: float = 5
    usage_error: float = 0.05
    usage_late_s: float = 10

    @property
    def configuration_ms(self) -> float:
        """How long after the acknowledgement of a configuration version a member may still use an older one,
        including its API keys."""
        return self.apply_ms if self.revoke_ms is None else min(self.apply_ms, self.revoke_ms)


class CloudApi(msgspec.Struct, rename="camel"):
    """The cloud platform. Some calls to it are made by one store at a time (`docs/duties.md`)."""

    address: str
    duty_set: list[str] = []
    rate_per_s: float = 50.0
    duty_rate_s: float = 50.0


class Settings(msgspec.Struct, rename="camel"):
    node_name: str
    bind_ip: str
    zone: str
    port_range: tuple[int, int]
    serves: list[str] = []
    role: str = ""
    machine_class: str = ""
    region: str = ""
    zones: dict[str, str] = {}
    bind_addrs: BindAddresses = msgspec.field(default_factory=BindAddresses)
    seed_nodes: list[str] = []
    bootstrap: bool = False
    quorum_member: bool = False
    limits: Limits = msgspec.field(default_factory=Limits)
    data_dir: str | None = None
    heartbeat_ms: float = 1200
    tolerates: FaultTolerance = msgspec.field(default_factory=FaultTolerance)
    rule_bounds: RuleBounds = msgspec.field(default_factory=RuleBounds)
    cloud_api: CloudApi | None = None
    rule_parts: list[str] = []  # required of this deployment

    @property
    def unknown_rule_parts(self) -> list[str]:
        """The required rule parts that this program does not implement.

        >>> Settings("a", "10.0.0.1", "z", (1, 2), rule_parts=["base", "quotas"]).unknown_rule_parts
        ['quotas']
        """
        return [part for part in self.rule_parts if part not in KNOWN_RULE_PARTS]

    @property
    def reports_usage(self) -> bool:
        """Whether usage is reported to the platform."""
        return self.cloud_api is not None and USAGE_REPORT in self.cloud_api.duty_set

    @property
    def seeds(self) -> list[str]:
        """The hosts of the seed nodes. Their ports are not needed: all machines use the same peer port."""
        return [address(text)[0] for text in self.seed_nodes]


def address(text: str) -> tuple[str, int]:
    """Parses "host:port". Raises ValueError.

    >>> address("10.0.0.4:8000")
    ('10.0.0.4', 8000)
    >>> address("10.0.0.4:²")
    Traceback (most recent call last):
    ...
    ValueError: '10.0.0.4:²' is not an address
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address")
    return host, int(port)


def _check_cloud_api(cloud_api: CloudApi, bounds: RuleBounds) -> None:
    """Validates `cloudApi` and the bounds that belong to it. Raises ValueError."""
    address(cloud_api.address)
    positive = {
        "cloudApi.ratePerS": cloud_api.rate_per_s,
        "cloudApi.dutyRateS": cloud_api.duty_rate_s,
        "ruleBounds.usageWindowS": bounds.usage_window_s,
    }
    for field, value in positive.items():
        if not value > 0:
            raise ValueError(f"{field}: must be greater than 0")


def path() -> Path:
    """The path of the settings file, from the environment or the default."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read(file: Path) -> Settings:
    """Reads and parses a settings file. Raises SettingsError."""
    try:
        text = file.read_text()
    except OSError as problem:
        raise SettingsError(f"{file}: {problem.strerror}") from None
    return parse(text, str(file))


def parse(text: str, name: str) -> Settings:
    """Parses settings; `name` is used in error messages. Raises SettingsError.

    >>> parse("nodeName: a", "s.yaml")
    Traceback (most recent call last):
    ...
    sableford.common.settings.SettingsError: s.yaml: Object missing required field `bindIp`
    """
    try:
        document = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        settings = msgspec.convert(document, Settings, strict=False)
        for seed_node in settings.seed_nodes:
            address(seed_node)
        for field in ("public_http", "ready_probe", "control_rpc"):
            if (value := getattr(settings.bind_addrs, field)) is not None:
                address(value)
        if settings.cloud_api is not None:
            _check_cloud_api(settings.cloud_api, settings.rule_bounds)
    except yaml.YAMLError as problem:
        raise SettingsError(f"{name}: invalid YAML: {' '.join(str(problem).split())}") from None
    except (msgspec.ValidationError, ValueError) as problem:
        raise SettingsError(f"{name}: {problem}") from None
    return settings
