"""Changes of the settings file, told by a signal or not at all.

The file is small and local, so it is read every few seconds; SIGHUP only makes
that sooner. A file that is missing, half written or faulty changes nothing.
"""

from collections.abc import Callable

import gevent
from gevent import event

from daisypick_core.results import failure
from daisypick_platform import settings as platform_settings
from daisypick_router import log as logs

# Operators allow two seconds for a change of the configuration; settings
# change far more seldom.
_PERIOD_SECONDS = 2.0


class SettingsWatch:
    """Calls ``on_change(settings)`` when they differ from the last ones."""

    def __init__(
        self,
        *,
        settings: platform_settings.Settings,
        log: logs.Log,
        on_change: Callable[[platform_settings.Settings], None],
    ) -> None:
        self._settings = settings
        self._log = log
        self._on_change = on_change
        self._asked = event.Event()
        self._unreadable = ""

    def start(self) -> None:
        """Begin to look."""
        gevent.spawn(self._run)

    def look_soon(self) -> None:
        """Look at once; called on SIGHUP."""
        self._asked.set()

    def _run(self) -> None:
        while True:
            self._asked.wait(_PERIOD_SECONDS)
            asked = self._asked.is_set()
            self._asked.clear()
            self.look(asked=asked)

    def look(self, *, asked: bool) -> None:
        """Read the file and take what changed."""
        loaded = platform_settings.load()
        if failure.is_failure(loaded):
            if asked or loaded.reason != self._unreadable:
                self._log.write(
                    "process",
                    "Settings are unreadable; the last ones stand.",
                    code=loaded.code.number,
                    reason=loaded.reason,
                )
            self._unreadable = loaded.reason
            return
        self._unreadable = ""
        changed = [
            name
            for name in loaded._fields
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        if asked or changed:
            self._log.write(
                "process", "Read the settings again.", changed=changed
            )
        if changed:
            self._settings = loaded
            self._on_change(loaded)
