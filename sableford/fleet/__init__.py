"""Optional cluster of schedulers: membership and a replicated log. Off unless it is configured."""
