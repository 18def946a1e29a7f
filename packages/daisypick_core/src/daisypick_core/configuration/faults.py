"""Faults of a folder of configuration files.

Validation reports every fault at once, so that an operator can correct a
folder in one pass. Each fault names the file, the key and the reason.

Examples:
    >>> from daisypick_core.results import codes
    >>> fault = Fault(
    ...     file="10-base.toml", key="organisations.union.share",
    ...     code=codes.BAD_VALUE, reason="is -1.0, must be above 0")
    >>> print(fault)
    10-base.toml: organisations.union.share: is -1.0, must be above 0 [6002]
"""

import typing

from daisypick_core.results import codes


class Fault(typing.NamedTuple):
    """One fault of a folder.

    Attributes:
        file: Name of the file that set the value.
        key: Dotted key, e.g. ``organisations.union.share``.
        code: One of the codes 6xxx.
        reason: Short description of the fault.
    """

    file: str
    key: str
    code: codes.Code
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.file}: {self.key}: {self.reason} [{self.code.number}]"
