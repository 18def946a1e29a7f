"""The list of live and leaving VMs, which lags behind their actual state.

Examples:
    >>> vms = VmList(lag=5.0)
    >>> vms.set(Vm("10.0.0.1", "sofia", "live"), 0.0)
    >>> vms.list(4.0)
    []
    >>> vms.list(5.0)
    [Vm(address='10.0.0.1', data_centre='sofia', state='live')]
"""

import typing


class Vm(typing.NamedTuple):
    """An entry; ``state`` is ``"live"``, ``"leaving"`` or ``"gone"``."""

    address: str
    data_centre: str
    state: str


class VmList:
    """The VMs in their state of ``lag`` seconds ago."""

    def __init__(self, *, lag: float = 0.0) -> None:
        self.lag = lag
        self._changes: list[tuple[float, Vm]] = []

    def set(self, vm: Vm, now: float) -> None:
        """Record the state of a VM."""
        self._changes.append((now, vm))

    def list(self, now: float) -> list[Vm]:
        """Return the VMs known at this time, sorted by address."""
        known = {
            vm.address: vm
            for at, vm in self._changes
            if self._is_visible(at, now)
        }
        return [
            known[address]
            for address in sorted(known)
            if known[address].state != "gone"
        ]

    def _is_visible(self, at: float, now: float) -> bool:
        return at + self.lag <= now
