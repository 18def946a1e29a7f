"""``hash-key``."""

import hashlib
import sys

from daisypick_cli import exit_codes
from daisypick_cli.commands import base


class HashKeyCommand(base.OperatorCommand):
    """``daisypick hash-key``."""

    name = "hash-key"
    description = "Print the hash of an API key read from standard input."
    help = """\
The key is read from standard input, so that it is visible neither in process
lists nor in the shell history. Surrounding white space is ignored.

Examples:
  daisypick hash-key < key-of-union.txt
""" + base.explain_exit_codes(exit_codes.FAULTS)
    options = [base.JSON_OPTION]

    def handle(self) -> int:
        """Hash the key."""
        key = sys.stdin.readline().strip()
        if not key:
            self.line_error("no key on standard input")
            return exit_codes.FAULTS
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        self.print_output({"key_hash": key_hash}, [key_hash])
        return exit_codes.OK


COMMANDS = [HashKeyCommand]
