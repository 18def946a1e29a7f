"""Writes the progress of a generation to its stream."""

from daisypick_standins.engine import batch as engine_batch
from daisypick_standins.engine import completions
from daisypick_standins.engine import faults as engine_faults
from daisypick_standins.engine import streams as engine_streams


class StreamProgress:
    """Callback after each token and at the end of one generation.

    Its constructor consumes one ``break_off`` and one ``stall`` fault, if
    there are any.
    """

    def __init__(
        self,
        *,
        stream: engine_streams.Stream,
        writer: completions.ChunkWriter,
        wants_usage: bool,
        faults: engine_faults.Faults,
    ) -> None:
        self._stream = stream
        self._writer = writer
        self._wants_usage = wants_usage
        self._breaks_off = faults.break_off > 0
        self._stalls = faults.stall > 0
        faults.break_off = max(0, faults.break_off - 1)
        faults.stall = max(0, faults.stall - 1)

    def __call__(self, generation: engine_batch.Generation) -> None:
        """Write the new token, or close the stream."""
        is_half = generation.emitted * 2 >= len(generation.tokens)
        if self._stream.is_closed or (is_half and self._stalls):
            return
        if is_half and self._breaks_off:
            self._stream.close(is_broken=True)
        elif generation.outcome in ("", engine_batch.DONE):
            self._write(generation)
        else:
            self._stream.close(is_broken=True)

    def _write(self, generation: engine_batch.Generation) -> None:
        data = self._writer.role() if generation.emitted == 1 else b""
        token = generation.tokens[generation.emitted - 1]
        self._stream.write(data + self._writer.token(token))
        if generation.outcome == engine_batch.DONE:
            self._stream.write(self._last_events(generation))
            self._stream.close()

    def _last_events(self, generation: engine_batch.Generation) -> bytes:
        events = self._writer.finish("stop")
        if self._wants_usage:
            token_usage = completions.usage(
                generation.prompt,
                generation.emitted,
                generation.cached_tokens,
            )
            events += self._writer.token_usage(token_usage)
        return events + completions.DONE_EVENT
