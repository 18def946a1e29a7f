"""The protocol of platform clients, and their registry.

Durable and shared state is stored through the platform's object API: values
of up to a megabyte with versions, conditional updates and watches. If the
response is lost after a write may have been applied, the client returns
``codes.PLATFORM_ANSWER_LOST`` and its caller resolves the outcome by reading
back. Each call counts against a process-wide budget; if it is exhausted,
nothing is sent and the call fails with ``codes.PLATFORM_BUDGET_SPENT``.
"""

from collections.abc import Callable
import typing

from daisypick_core.results import failure as failure_value

VM_LIVE = "live"
VM_LEAVING = "leaving"


class StoredObject(typing.NamedTuple):
    """An object stored by the platform.

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
    """An entry of the platform's list of VMs, which may be stale."""

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
        """Write if the version matches; ``None`` creates a new object.

        Failures: ``PLATFORM_CONFLICT`` (certainly not written),
        ``PLATFORM_UNAVAILABLE`` (certainly not written),
        ``PLATFORM_ANSWER_LOST`` (possibly written: read back).
        """
        ...

    def delete(
        self, kind: str, name: str, *, if_version: str
    ) -> failure_value.Failure | None:
        """Delete if the version matches; return ``None`` on success."""
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

        Returns ``None`` after ``timeout`` seconds without a change.
        """
        ...

    def list_vms(self) -> list[Vm] | failure_value.Failure:
        """Return the list of VMs, which may be stale."""
        ...


Factory = Callable[..., PlatformClient]

by_name: dict[str, Factory] = {}


def register(name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a platform client by name."""

    def _add(factory: Factory) -> Factory:
        by_name[name] = factory
        return factory

    return _add
