"""How one entry reaches targets: its own links, and other entries as proxies."""

from __future__ import annotations

import random
from collections.abc import Mapping

from endivesill.fleet.entry_peers import EntryPeer
from endivesill.fleet.model import EngineInfo
from endivesill.fleet.sync_client import FleetSyncClient
from endivesill.forwarding.protocol import EngineProtocol
from endivesill.forwarding.proxy_client import ProxyClient
from endivesill.forwarding.proxy_peers import ProxyPeers
from endivesill.forwarding.proxy_service import ProxyService
from endivesill.forwarding.target_client import TargetClient
from endivesill.forwarding.target_links import CHECK_PERIOD_S, TargetLinks
from endivesill.forwarding.targets import TargetTable
from endivesill.http1 import ConnectionPool
from endivesill.timer import TimerService

__all__ = ["REPORT_DELAY_S", "EntryNetwork"]

# Connecting to an engine takes a few milliseconds. A longer time means a lost
# packet, and another engine is tried.
CONNECT_TIMEOUT_S = 0.3
# Idle connections are closed before the engine would close them.
MAX_IDLE_S = 3.0
PRUNE_PERIOD_S = 0.5
# From a change of the links to its report to the leader.
REPORT_DELAY_S = 0.1


class EntryNetwork:
    """Connects the parts that send requests to targets with the fleet's exchange.

    Args:
      timer: the timer service.
      own: where this entry listens for others; its connections come from this host.
      table: the targets.
      protocol: decodes heads of responses.
      sync_client: exchanges lost links and entries with the leader.
      random_source: chooses among equally good entries.

    Attributes:
      client: sends this entry's requests.
      links: the targets that this entry reaches.
      service: sends requests of other entries.
    """

    def __init__(
        self,
        timer: TimerService,
        own: EntryPeer,
        table: TargetTable,
        protocol: EngineProtocol,
        sync_client: FleetSyncClient,
        random_source: random.Random,
    ) -> None:
        self._timer = timer
        self._table = table
        host = own.address.rpartition(":")[0]
        pool = ConnectionPool(timer, CONNECT_TIMEOUT_S, MAX_IDLE_S, source_host=host)
        self._pool = pool
        self._entry_peers = sync_client.entry_peers
        self._entry_peers.own = own
        self._entry_peers.on_peers = self._update_peers
        self._peers = ProxyPeers(timer, own.data_centre, random_source)
        self._proxy = ProxyClient(timer, pool, self._peers)
        self._proxy.search.on_search = self._request_peers
        self.links = TargetLinks(timer, pool, random_source)
        self.links.on_change = self._schedule_report
        evidence = sync_client.crashes.evidence
        evidence.on_change = lambda: self.links.note_crashed(evidence.crashed)
        self._is_report_due = False
        self.client = TargetClient(timer, pool, self.links, self._proxy)
        self.service = ProxyService(
            timer, own.address, table, pool, self.links, protocol
        )

    async def start(self) -> None:
        """Start listening for other entries."""
        await self.service.listener.start()
        self._timer.call_every(PRUNE_PERIOD_S, self._pool.prune)
        self._timer.call_every(CHECK_PERIOD_S, self.links.check)

    def _update_peers(self) -> None:
        self._peers.update(self._entry_peers.peers)

    def _schedule_report(self) -> None:
        """Report links shortly, as several are often lost or regained together."""
        if not self._is_report_due:
            self._is_report_due = True
            self._timer.call_after(REPORT_DELAY_S, self._report_links)

    def _report_links(self) -> None:
        self._is_report_due = False
        if self._entry_peers.set_lost(self.links.unreached()):
            self._table.on_broken()

    def _request_peers(self) -> None:
        if self._entry_peers.request_peers():
            self._table.on_broken()

    def update(self, engines: Mapping[str, EngineInfo]) -> None:
        """Replace the listed targets."""
        self.links.update(engines)

    def gauges(self) -> dict[str, float]:
        """Return the metrics by name."""
        return {
            "target_connects_total": self._pool.connect_attempts,
            "target_links_lost": len(self.links.lost),
            "proxy_peers_age_seconds": self._peers.age_s(),
            "proxy_searches_total": self._proxy.search.searches,
            "proxied_by_others_total": self._proxy.proxied,
            "proxied_for_others_total": self.service.proxied,
        }
