"""Counts usage on a store, and reports it to the platform while this store is assigned that duty."""

import time

from sableford.common.settings import USAGE_REPORT, address
from sableford.control.member_client import MemberClient
from sableford.duties.assignment import DutyAssignment
from sableford.duties.duty_holder import DutyHolder
from sableford.duties.platform_client import PlatformClient
from sableford.duties.time_of_day import TimeOfDay
from sableford.duties.usage_counts import UsageCounts
from sableford.node.runtime import Runtime


class StoreDuties:
    """Counts and reports usage. Exists only if the settings name a platform to report to."""

    def __init__(self, runtime: Runtime, member: MemberClient) -> None:
        settings = runtime.settings
        cloud_api, bounds = settings.cloud_api, settings.rule_bounds
        assert cloud_api is not None, "the settings name no platform API"
        time_of_day = TimeOfDay(runtime.now, lambda: time.time() * 1000.0)
        window_ms, retain_ms = bounds.usage_window_s * 1000.0, bounds.usage_late_s * 1000.0
        self.usage = UsageCounts(window_ms, retain_ms, time_of_day.unix_ms)
        host, port = address(cloud_api.address)
        self._holder = DutyHolder(
            USAGE_REPORT,
            DutyAssignment(runtime.me, runtime.incarnation),
            PlatformClient(host, port, settings.node_name),
            min(cloud_api.duty_rate_s, cloud_api.rate_per_s),
            holds_lease=member.holds_lease,
            leaving=runtime.ending.is_set,
            on_refused=member.renew_now,
            log=runtime.log,
        )
        self._runtime, self._member = runtime, member

    def start(self) -> None:
        """Connects the duty to the runtime. Must be called before the process joins a leader."""
        self._member.usage = self.usage.status
        self._member.on_duties.append(self._holder.handle_notices)
        self._runtime.duty_reports = self._holder.reports
        self._runtime.spawn(self._holder.run())
