"""Searchers that announced ``draining`` before control has recorded it.

The entry host that receives the announcement notifies all others directly, so that
the owner stops sending even while control has no leader. A searcher that announced
``draining`` stays in that state until it restarts with another incarnation.
"""

from collections.abc import Callable

import msgspec

from plantainstage._messages.configuration import UpstreamState
from plantainstage._messages.forward import DrainNotice

# A searcher repeats its announcement every second, and control drops the record of a
# silent one after this time.
NOTICE_EXPIRY_S = 600.0


class DrainingSearchers:
    """Draining searchers by (upstream id, incarnation), until control records them.

    ``on_change`` is called when a searcher is added, to apply the change.
    """

    def __init__(self, *, entry_id: str, links, on_change: Callable):
        self.entry_id = entry_id
        self.links = links
        self.on_change = on_change
        self.received_at = {}

    def on_announcement(self, upstream, now):
        """Handles a draining announcement and notifies the other entry hosts.

        The notice is sent again with each announcement until control has
        recorded the state, since a link may have been down.
        """
        notice = DrainNotice(
            sender=self.entry_id,
            upstream_id=upstream.upstream_id,
            incarnation=upstream.incarnation,
        )
        for link in self.links.peers.values():
            link.send_unbatched(notice)
        self.on_notice(notice, now)

    def on_notice(self, notice, now):
        """Handles a notice from an entry host, which may be this one."""
        key = (notice.upstream_id, notice.incarnation)
        is_new = key not in self.received_at
        self.received_at[key] = now
        if is_new:
            self.on_change()

    def apply(self, configuration, now):
        """Returns the configuration with the known searchers marked as draining."""
        self._drop_expired(configuration, now)
        if not self.received_at:
            return configuration
        upstreams = tuple(map(self._with_drain_state, configuration.upstreams))
        return msgspec.structs.replace(configuration, upstreams=upstreams)

    def _with_drain_state(self, upstream):
        key = (upstream.upstream_id, upstream.incarnation)
        if upstream.state is UpstreamState.SERVING and key in self.received_at:
            return msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
        return upstream

    def _drop_expired(self, configuration, now):
        """Drops notices that the configuration has recorded and expired ones."""
        recorded = {
            (item.upstream_id, item.incarnation)
            for item in configuration.upstreams
            if item.state is UpstreamState.DRAINING
        }
        self.received_at = {
            key: time
            for key, time in self.received_at.items()
            if key not in recorded and now - time < NOTICE_EXPIRY_S
        }
