"""Drain state of a gate, derived from the local configuration and VM signals.

The gate decides locally, from the configuration in force at its process and
from the signals of its own VM, so that no command has to reach it. The
platform's list of VMs lags, so it may add a reason but never removes one.

See Also:
    ``daisypick_core.gate.admission``: how reasons are combined.
"""

import typing

from daisypick_core.configuration import model
from daisypick_core.gate import admission

# The reasons that a configuration can add and remove.
CONFIGURED_REASONS = (
    admission.DATA_CENTRE_OUT,
    admission.REMOVED,
    admission.NOT_CONFIGURED,
)


class DrainState(typing.NamedTuple):
    """Reasons for draining under one generation of the configuration.

    Attributes:
        generation: Generation of that configuration.
        reasons: Reasons of ``daisypick_core.gate.admission``; none if the
            gate may be open.
    """

    generation: int
    reasons: frozenset[str]


def derive(
    configuration: model.Configuration,
    backend_server: str,
    *,
    is_vm_leaving: bool = False,
) -> DrainState:
    """Return the drain state of the gate of a backend server.

    Args:
        configuration: The configuration in force at the process.
        backend_server: Name of the backend server behind the gate.
        is_vm_leaving: Whether the platform or the VM itself has announced
            that the VM leaves.

    Examples:
        >>> sorted(derive(model.EMPTY, "desk-1").reasons)
        ['process has no configuration yet']
    """
    reasons = _configured_reasons(configuration, backend_server)
    if is_vm_leaving:
        reasons = reasons | {admission.VM_LEAVING}
    return DrainState(generation=configuration.generation, reasons=reasons)


def _configured_reasons(
    configuration: model.Configuration, backend_server: str
) -> frozenset[str]:
    if configuration.generation == 0:
        # A process that restarts without state while the store is down cannot
        # know whether its data centre is out of service. An open gate would
        # start attempts there; a closed one sends them to agents that have a
        # configuration.
        return frozenset({admission.NOT_CONFIGURED})
    server = configuration.backend_servers_by_name.get(backend_server)
    if server is None:
        return frozenset({admission.REMOVED})
    data_centre = configuration.data_centres_by_name.get(server.data_centre)
    if data_centre is None or not data_centre.is_in:
        return frozenset({admission.DATA_CENTRE_OUT})
    return frozenset()
