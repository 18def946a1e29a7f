"""Notifies processes that the platform is about to remove their VMs.

The platform's list of VMs lags, and 4,000 processes cannot all poll it. The
few watchers of the store in a data centre poll it every few seconds and notify
the processes on leaving VMs. A notified process drains and never reverts to
serving, because the lagging list may again show a leaving VM as live.

See Also:
    ``daisypick_core.gate.drain_state``: how an agent combines its signals.
"""

from collections.abc import Callable
import random

import gevent

from daisypick_core.membership import directory as member_directory
from daisypick_core.results import failure as failure_value
from daisypick_node import logs
from daisypick_node.http import client
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes
from daisypick_node.platform import interface

LEAVING = "/internal/leaving"
LIST_SECONDS = 5.0

_log = logs.PartLog("vm_watch")


class VmWatch:
    """Polls the list of VMs for one process and receives notifications."""

    def __init__(
        self,
        *,
        platform: interface.PlatformClient,
        peers: peers_module.Peers,
        is_watcher: Callable[[], bool],
        members: Callable[[], list[member_directory.Member]],
        set_leaving: Callable[[frozenset[str]], None],
        on_leaving: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._is_watcher = is_watcher
        self._members = members
        self._set_leaving = set_leaving
        self._on_leaving = on_leaving
        self._rng = rng
        self._to_notify: set[str] = set()
        self._notified: set[str] = set()
        self.is_leaving = False

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        return {routes.Route("POST", LEAVING): self._serve_leaving}

    def run(self) -> None:
        """Poll the list until the greenlet is stopped."""
        while True:
            gevent.sleep(LIST_SECONDS * (0.5 + self._rng.random()))
            if self._is_watcher():
                self.poll()

    def poll(self) -> None:
        """Poll the list once and notify the processes on leaving VMs."""
        vms = self._platform.list_vms()
        if failure_value.is_failure(vms):
            return
        leaving = frozenset(
            vm.address for vm in vms if vm.state == interface.VM_LEAVING
        )
        # Marking VMs as leaving excludes their members from the live ones, so
        # they are recorded first: an unreachable one is notified at the next
        # poll.
        self._to_notify.update(
            member.address
            for member in self._members()
            if _runs_on(member.address, leaving)
        )
        self._set_leaving(leaving)
        for address in sorted(self._to_notify - self._notified):
            self._notify(address)

    def _notify(self, address: str) -> None:
        response = self._peers.call(address, "POST", LEAVING)
        if not failure_value.is_failure(response):
            self._notified.add(address)
            _log.say(
                "Notified a process that its VM is leaving.", address=address
            )

    def _serve_leaving(self, call: routes.Call) -> routes.Reply:
        del call
        if not self.is_leaving:
            self.is_leaving = True
            self._on_leaving()
        return routes.reply_json({"leaving": True})


def _runs_on(address: str, vms: frozenset[str]) -> bool:
    """Return whether a process runs on one of the VMs.

    Examples:
        >>> _runs_on("10.0.0.1:80", frozenset({"10.0.0.1"}))
        True
        >>> _runs_on("10.0.0.1:80", frozenset({"10.0.0.1:81"}))
        False
    """
    return address in vms or client.parse_address(address).host in vms
