"""What a client of the platform offers.

What must last or be agreed goes through the platform's object API: values of
up to a megabyte with versions, conditional updates and watches. An answer can
be lost after a write took effect; the client says so with
``codes.PLATFORM_ANSWER_LOST`` and the caller settles it by reading back.
Every call counts against a process-wide budget; a spent budget is
``codes.PLATFORM_BUDGET_SPENT`` and nothing was sent.
"""

from collections.abc import Callable
import typing

from daisypick_core.results import failure as failure_value

VM_LIVE = "live"
VM_LEAVING = "leaving"


class StoredObject(typing.NamedTuple):
    """An object as the platform holds it.

    Attributes:
        kind: Kind of the object, e.g. ``"configuration"``.
        name: Name within the kind.
        version: Opaque version, changed by every write.
        value: Up to 1 MB.
    """

    kind: str
    name: str
    version: str
    value: bytes


class Vm(typing.NamedTuple):
    """An entry of the platform's lagging list of VMs."""

    address: str
    data_centre: str
    state: str


class PlatformClient(typing.Protocol):
    """Calls to the platform; each returns a value or a ``Failure``."""

    def get(self, kind: str, name: str) -> StoredObject | failure_value.Failure:
        """Return an object, or a failure ``codes.NOT_FOUND``."""
        ...

    def put(
        self, kind: str, name: str, value: bytes, *, if_version: str | None
    ) -> StoredObject | failure_value.Failure:
        """Write if the version matches; ``None`` asks for a new object.

        Failures: ``PLATFORM_CONFLICT`` (surely not written),
        ``PLATFORM_UNAVAILABLE`` (surely not written),
        ``PLATFORM_ANSWER_LOST`` (may be written: read back).
        """
        ...

    def delete(
        self, kind: str, name: str, *, if_version: str
    ) -> failure_value.Failure | None:
        """Delete if the version matches; ``None`` means done."""
        ...

    def list_names(
        self, kind: str, prefix: str
    ) -> list[str] | failure_value.Failure:
        """Return the names of a kind that begin with a prefix, sorted."""
        ...

    def watch(
        self, kind: str, name: str, *, after_version: str, timeout: float
    ) -> StoredObject | failure_value.Failure | None:
        """Wait for a version other than ``after_version``.

        Returns ``None`` when ``timeout`` seconds passed without a change.
        """
        ...

    def list_vms(self) -> list[Vm] | failure_value.Failure:
        """Return the lagging list of VMs."""
        ...


Factory = Callable[..., PlatformClient]

by_name: dict[str, Factory] = {}


def register(name: str) -> Callable[[Factory], Factory]:
    """Register the client of a platform under a name."""

    def _add(factory: Factory) -> Factory:
        by_name[name] = factory
        return factory

    return _add
