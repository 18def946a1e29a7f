"""Whether a gate drains, derived from what its process knows.

The gate decides for itself, from the configuration in force at its process
and from the signals of its own VM; nobody has to reach it with an order. The
platform's list of VMs lags: it may add a reason and never takes one back.

See Also:
    ``daisypick_core.gate.admission``: how reasons add up.
"""

import typing

from daisypick_core.configuration import model
from daisypick_core.gate import admission

# The reasons that a configuration gives and takes back.
CONFIGURED_REASONS = (
    admission.DATA_CENTRE_OUT,
    admission.REMOVED,
    admission.NOT_CONFIGURED,
)


class DrainState(typing.NamedTuple):
    """Why a gate drains, as one generation of the configuration has it.

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
        is_vm_leaving: Whether the platform or the VM itself has said that
            the VM leaves.

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
        # A process that restarts with nothing in memory while the store is
        # down cannot know that its data centre is out. Open, it would start
        # work there; closed, the work goes to those who know.
        return frozenset({admission.NOT_CONFIGURED})
    server = configuration.backend_servers_by_name.get(backend_server)
    if server is None:
        return frozenset({admission.REMOVED})
    data_centre = configuration.data_centres_by_name.get(server.data_centre)
    if data_centre is None or not data_centre.is_in:
        return frozenset({admission.DATA_CENTRE_OUT})
    return frozenset()
