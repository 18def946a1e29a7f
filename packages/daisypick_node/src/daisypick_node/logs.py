"""Structured logs by ``eliot``: short sentences, one fixed prefix per part.

Keys and callers' texts are never logged. A request is identified by its id,
an organisation by its name.
"""

import sys
import typing

import eliot


class PartLog:
    """The log of one part of a process.

    Attributes:
        prefix: Fixed prefix, e.g. ``"router.relay"``.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def say(self, sentence: str, **fields: typing.Any) -> None:
        """Write a sentence and its fields."""
        eliot.log_message(
            message_type=self.prefix,
            sentence=f"{self.prefix}: {sentence}",
            **fields,
        )


def write_to_stdout() -> None:
    """Write the logs of this process to standard output, one per line."""
    eliot.to_file(sys.stdout)
