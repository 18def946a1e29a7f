"""Detects changes of the settings file, with or without a signal.

The file is small and local, so it is polled; SIGHUP triggers an immediate
read. A missing, partly written or invalid file changes nothing.
"""

from collections.abc import Callable

from gevent import event

from daisypick_core.results import failure
from daisypick_platform import settings as platform_settings
from daisypick_router import log as logs
from daisypick_router import loops

# Same as the 2 s allowed for a change of the configuration to be in force;
# settings change far less often.
_PERIOD_SECONDS = 2.0


class SettingsWatch:
    """Calls ``on_change(settings)`` when the file's settings have changed."""

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
        self._requested = event.Event()
        self._last_error = ""

    def start(self) -> None:
        """Start polling the file."""
        loops.spawn(self._run)

    def request_reload(self) -> None:
        """Read the file at once; called on SIGHUP."""
        self._requested.set()

    def _run(self) -> None:
        # The file may have changed since the settings were read.
        self.reload(is_requested=False)
        while True:
            self._requested.wait(_PERIOD_SECONDS)
            is_requested = self._requested.is_set()
            self._requested.clear()
            self.reload(is_requested=is_requested)

    def reload(self, *, is_requested: bool) -> None:
        """Read the file and apply changes.

        Unchanged or still invalid settings are logged only if ``is_requested``.
        """
        loaded = platform_settings.load()
        if failure.is_failure(loaded):
            if is_requested or loaded.reason != self._last_error:
                self._log.write(
                    "process",
                    "Invalid settings; the last valid ones stay in force.",
                    code=loaded.code.number,
                    reason=loaded.reason,
                )
            self._last_error = loaded.reason
            return
        self._last_error = ""
        changed = [
            name
            for name in loaded._fields
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        if is_requested or changed:
            self._log.write(
                "process", "Reloaded the settings.", changed=changed
            )
        if changed:
            self._settings = loaded
            self._on_change(loaded)
