"""Bytes that a router holds for requests, and the limits that follow.

Each holder is one caller's connection. Its bytes are counted by kind, by
organisation and by backend server; setting a count costs the same whatever
the number of holders. The limits are shares of the memory of the process: the
rest is for the interpreter, the fleet's state, and the copies and allocator
overhead that the counts do not contain.

Examples:
    >>> held = HeldBytes(memory_bytes=1_000_000)
    >>> slow = held.open(now=0.0)
    >>> held.assign(slow, organisation="farm")
    >>> held.set(slow, RESPONSE, 600_000, now=1.0)
    >>> held.is_above_soft, held.is_above_hard
    (True, True)
    >>> held.choose_end() is slow
    True
"""

import collections
import heapq

# Kinds of held bytes.
REQUEST = "request"
RESPONSE = "response"
STREAM = "stream"
# What admitted bodies may still bring.
ARRIVING = "arriving"
KINDS = (REQUEST, RESPONSE, STREAM, ARRIVING)

# Shares of the memory of the process that held bytes may take. A router of the
# largest fleet needs some 60 MB for itself.
_HARD_SHARE = 0.58
_MIN_HARD_SHARE = 0.3
# Share of the hard limit.
_SOFT_SHARE = 0.45 / 0.58
# Share of the soft limit that the bytes of one organisation may take before
# only its callers get less, and its large bodies are refused.
_ORGANISATION_SHARE = 0.8
# Share of the hard limit above which no whole response begins.
_FULL_SHARE = 0.95
# Share of the soft limit up to which large bodies are admitted. The rest is for
# small requests and for responses.
_BODY_SHARE = 0.8
# A caller may have this part of the free bytes in flight. All callers together
# thus approach the soft limit without reaching it.
_CALLER_PART = 8
# Servers cut off a response that stays unread for some seconds. After this time
# one more step is read as long as the router is well below its soft limit.
_MAX_UNREAD_SECONDS = 1.0
_MIN_CALLER_BYTES = 32_768
# What is read in one step then. A server's kernel reports progress only after
# a third of its buffer was read.
_STEP_BYTES = 524_288
# Share of the soft limit above which there are no such steps. The rest is for
# callers that read, and for what others are reading at the same moment.
_STEP_SHARE = 0.9
# Bodies up to this size are accepted above the soft limit too.
SMALL_BODY_BYTES = 16_384
# Bodies that may be arriving at once, in total and from one organisation. They
# are bounded by count too, since a body that does not arrive holds a descriptor
# but few bytes.
_MAX_ARRIVING = 512
_MAX_ARRIVING_BY_ORGANISATION = 128
# An arriving body without a byte for this time yields to another one that
# does not fit.
_STALLED_SECONDS = 1.0
# Memory of an open connection, and the number of connections that the rest of
# the memory has room for.
_CONNECTION_BYTES = 16_384
_FREE_CONNECTIONS = 512
# What held bytes leave of the memory beside the process's own: a tenth for the
# kernel's receive buffers, those connections, and copies for a moment.
_REST_SHARE = 0.9
_REST_BYTES = _FREE_CONNECTIONS * _CONNECTION_BYTES + 8_000_000
# Share of the memory that all other connections may take.
_CONNECTION_SHARE = 0.2


class Holder:
    """The bytes that are held for one caller's connection.

    Attributes:
        organisation: Who owns the request; empty while unknown.
        server: Backend server that has the request, or ``None``.
        protected: Whether the request must not be cut at its server.
        ended: Whether the holder was chosen to be ended.
        opened_at: When the holder was opened.
        progressed_at: When bytes were last taken from it.
        granted: Bytes that it may have although its limit is lower.
        reserved: Bytes of its arriving body that it may have.
        leaves: Whether it was ended and its bytes are about to be freed.
    """

    __slots__ = (
        "arriving",
        "bytes_by_kind",
        "ended",
        "granted",
        "leaves",
        "opened_at",
        "organisation",
        "progressed_at",
        "protected",
        "reserved",
        "server",
    )

    def __init__(self, *, now: float) -> None:
        self.organisation = ""
        self.server: str | None = None
        self.protected = False
        self.ended = False
        self.arriving: str | None = None
        self.granted = 0
        self.reserved = 0
        self.leaves = False
        self.opened_at = now
        self.progressed_at = now
        self.bytes_by_kind: dict[str, int] = {}

    @property
    def bytes(self) -> int:
        """Bytes of all kinds."""
        return sum(self.bytes_by_kind.values())


class HeldBytes:
    """The ledger of a router.

    Attributes:
        total: Bytes that are held now, or reserved for admitted bodies.
        leaving: Those of them whose holders were ended, which are freed as soon
            as the event loop has run their greenlets.
        connections: Number of open connections.
        peak: The highest total so far.
        soft_limit: Bytes above which large bodies and whole responses are
            refused.
        hard_limit: Bytes above which holders are ended.
        max_connections: Number of connections that may be open.
        bytes_by_kind: Bytes by kind.
        bytes_by_server: Bytes of requests by the server that has them.
    """

    def __init__(self, *, memory_bytes: int) -> None:
        """Create an empty ledger.

        Args:
            memory_bytes: Memory of the process; zero for no limits.
        """
        self.total = 0
        self.leaving = 0
        self.peak = 0
        self.connections = 0
        self.bytes_by_kind = dict.fromkeys(KINDS, 0)
        self.bytes_by_server: dict[str, int] = {}
        # Holders with bytes, by organisation, in the order of their last
        # progress.
        self._holders: dict[str, collections.OrderedDict[Holder, None]] = {}
        self._bytes_by_organisation: dict[str, int] = {}
        self._arriving_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        # Holders of arriving bodies in the order of their last progress.
        self._arriving: collections.OrderedDict[Holder, None] = (
            collections.OrderedDict()
        )
        self.set_memory(memory_bytes)

    def set_memory(self, memory_bytes: int, *, resident_bytes: int = 0) -> None:
        """Derive the limits from the memory of the process.

        Args:
            memory_bytes: Memory of the process; zero for no limits.
            resident_bytes: What it needs for itself, if that is known.
        """
        memory = float(memory_bytes) if memory_bytes else float("inf")
        self.hard_limit = memory * _HARD_SHARE
        if resident_bytes:
            rest = memory * _REST_SHARE - resident_bytes - _REST_BYTES
            self.hard_limit = max(
                min(self.hard_limit, rest), memory * _MIN_HARD_SHARE
            )
        self.soft_limit = self.hard_limit * _SOFT_SHARE
        self.max_connections = _FREE_CONNECTIONS + (
            memory * _CONNECTION_SHARE / _CONNECTION_BYTES
        )

    @property
    def is_above_soft(self) -> bool:
        """Whether large bodies and whole responses are to be refused."""
        return self.total > self._find_soft_limit()

    @property
    def is_above_body_share(self) -> bool:
        """Whether large bodies and heads that come now are to be refused."""
        return self.total > self._find_soft_limit() * _BODY_SHARE

    def refuses_response(self, holder: Holder) -> bool:
        """Return whether a new whole response is to be refused.

        Above the soft limit those of organisations are that hold more than the
        mean of all that hold any, and all of them close to the hard limit.
        """
        if not self.is_above_soft:
            return False
        kept = self.total + self._find_connection_bytes()
        if kept > self.hard_limit * _FULL_SHARE:
            return True
        mean = self.total / max(len(self._bytes_by_organisation), 1)
        return self.find_organisation_bytes(holder.organisation) >= mean

    @property
    def is_above_hard(self) -> bool:
        """Whether holders are to be ended."""
        kept = self.total - self.leaving + self._find_connection_bytes()
        return kept > self.hard_limit

    def _find_connection_bytes(self) -> int:
        extra = max(self.connections - _FREE_CONNECTIONS, 0)
        return extra * _CONNECTION_BYTES

    def _find_soft_limit(self) -> float:
        return self.soft_limit - self._find_connection_bytes()

    def open(self, now: float) -> Holder:
        """Return a holder without bytes."""
        return Holder(now=now)

    def find_organisation_bytes(self, organisation: str) -> int:
        """Return the bytes that are held for an organisation."""
        return self._bytes_by_organisation.get(organisation, 0)

    def find_largest(self, count: int) -> list[tuple[str, int]]:
        """Return the organisations that hold most, and their bytes."""
        return heapq.nlargest(
            count, self._bytes_by_organisation.items(), key=lambda item: item[1]
        )

    def set(self, holder: Holder, kind: str, amount: int, now: float) -> None:
        """Set the bytes of a kind; fewer than before are progress."""
        change = amount - holder.bytes_by_kind.get(kind, 0)
        if not change:
            return
        self._count(holder, -1)
        if amount:
            holder.bytes_by_kind[kind] = amount
        else:
            holder.bytes_by_kind.pop(kind, None)
        self.bytes_by_kind[kind] += change
        self.total += change
        if holder.leaves:
            self.leaving += change
        self.peak = max(self.peak, self.total)
        self._count(holder, 1)
        # A body that arrives is progress of its caller, too.
        if change < 0 or kind == REQUEST:
            self._note_progress(holder, now)

    def _count(self, holder: Holder, sign: int) -> None:
        """Add or remove a holder's bytes at its organisation and server."""
        amount = holder.bytes
        if not amount:
            return
        organisation = holder.organisation
        _add(self._bytes_by_organisation, organisation, sign * amount)
        if sign > 0:
            holders = self._holders.setdefault(
                organisation, collections.OrderedDict()
            )
            holders.setdefault(holder, None)
        elif not self._bytes_by_organisation.get(organisation):
            del self._holders[organisation]
        request = holder.bytes_by_kind.get(REQUEST, 0)
        if holder.server is not None and request:
            _add(self.bytes_by_server, holder.server, sign * request)

    def _note_progress(self, holder: Holder, now: float) -> None:
        holder.progressed_at = now
        holders = self._holders.get(holder.organisation)
        if holders is None:
            return
        if not holder.bytes_by_kind:
            holder.granted = 0
            holders.pop(holder, None)
        elif holder in holders:
            holders.move_to_end(holder)

    def assign(
        self,
        holder: Holder,
        *,
        organisation: str | None = None,
        server: str | None = None,
    ) -> None:
        """Set whose request it is, and the server that has it."""
        self._count(holder, -1)
        if organisation is not None and organisation != holder.organisation:
            holders = self._holders.get(holder.organisation)
            if holders is not None:
                holders.pop(holder, None)
            holder.organisation = organisation
        holder.server = server
        self._count(holder, 1)

    def close(self, holder: Holder, now: float) -> None:
        """Remove all bytes of a holder."""
        self.end_arrival(holder)
        for kind in list(holder.bytes_by_kind):
            self.set(holder, kind, 0, now)

    def note_leaving(self, holder: Holder) -> None:
        """Record that a holder was ended and its bytes are about to be freed.

        They count until then, so that nothing else takes their place before.
        """
        if not holder.leaves:
            holder.leaves = True
            self.leaving += holder.bytes

    def begin_arrival(
        self, holder: Holder, size: int, now: float
    ) -> str | None:
        """Reserve the bytes of a body that begins to arrive.

        Args:
            holder: Who holds it.
            size: Its size, or the first bytes of one of unknown size.
            now: The time.

        Returns:
            Why the body is refused, or ``None``.
        """
        reason = self._find_refusal(holder, size, size)
        if reason is not None:
            return reason
        holder.reserved = size
        holder.progressed_at = now
        self.set(holder, ARRIVING, size, now)
        return None

    def count_arrival(self, holder: Holder, now: float) -> str | None:
        """Count a body that did not come together with its head.

        Returns:
            Why the body is refused, or ``None``.
        """
        if holder.arriving is not None:
            return None
        organisation = holder.organisation
        arriving = self._arriving_by_organisation.get(organisation, 0)
        if arriving >= _MAX_ARRIVING_BY_ORGANISATION:
            return "too many bodies of the organisation are arriving"
        if len(self._arriving) >= _MAX_ARRIVING:
            return "too many bodies are arriving"
        holder.arriving = organisation
        holder.progressed_at = now
        self._arriving[holder] = None
        self._arriving_by_organisation[organisation] += 1
        return None

    def extend_arrival(
        self, holder: Holder, size: int, now: float
    ) -> str | None:
        """Reserve more bytes for an arriving body of unknown size.

        Returns:
            Why the body is refused, or ``None``.
        """
        more = size - holder.reserved
        reason = self._find_refusal(holder, size, more)
        if reason is not None:
            return reason
        holder.reserved = size
        left = holder.bytes_by_kind.get(ARRIVING, 0)
        self.set(holder, ARRIVING, left + more, now)
        return None

    def _find_refusal(self, holder: Holder, size: int, more: int) -> str | None:
        """Return why a body may not have ``more`` bytes, or ``None``."""
        total = self.total + more
        if size <= SMALL_BODY_BYTES:
            is_full = total + self._find_connection_bytes() > self.hard_limit
            return "memory of the router is in use" if is_full else None
        if total > self._find_soft_limit() * _BODY_SHARE:
            return "memory of the router is in use"
        used = self.find_organisation_bytes(holder.organisation) + more
        if used > self.soft_limit * _BODY_SHARE * _ORGANISATION_SHARE:
            return "the organisation's share of the memory is in use"
        return None

    def note_arrived(self, holder: Holder, amount: int, now: float) -> None:
        """Record how much of an arriving body has been received."""
        if holder.arriving is None:
            return
        holder.progressed_at = now
        self._arriving.move_to_end(holder)
        self.set(holder, ARRIVING, max(holder.reserved - amount, 0), now)

    def find_stalled(self, holder: Holder | None, now: float) -> Holder | None:
        """Return the arriving body that yields to another one, if any does.

        It is the one without progress for the longest time. Where the
        organisation of ``holder`` has too many, it is one of that
        organisation.
        """
        organisation = None if holder is None else holder.organisation
        arriving = self._arriving_by_organisation.get(organisation, 0)
        only_own = arriving >= _MAX_ARRIVING_BY_ORGANISATION
        for other in self._arriving:
            if now - other.progressed_at < _STALLED_SECONDS:
                return None
            if other is not holder and (
                not only_own or other.arriving == organisation
            ):
                return other
        return None

    def end_arrival(self, holder: Holder) -> None:
        """Record that a body is complete or will not be."""
        holder.reserved = 0
        self.set(holder, ARRIVING, 0, holder.progressed_at)
        organisation = holder.arriving
        if organisation is None:
            return
        holder.arriving = None
        self._arriving.pop(holder, None)
        self._arriving_by_organisation[organisation] -= 1
        if not self._arriving_by_organisation[organisation]:
            del self._arriving_by_organisation[organisation]

    def find_caller_limit(self, holder: Holder, waited: float = 0.0) -> float:
        """Return the bytes that may be in flight to a holder's caller.

        Args:
            holder: The holder.
            waited: Seconds for which its server has not been read since the
                limit is reached.
        """
        soft_limit = self._find_soft_limit()
        has_room = self.total < soft_limit * _STEP_SHARE
        if waited >= _MAX_UNREAD_SECONDS and has_room:
            holder.granted = holder.bytes + _STEP_BYTES
        free = min(
            soft_limit - self.total,
            soft_limit * _ORGANISATION_SHARE
            - self.find_organisation_bytes(holder.organisation),
        )
        limit = max(free / _CALLER_PART, _MIN_CALLER_BYTES)
        return max(limit, holder.granted) if has_room else limit

    def choose_end(self) -> Holder | None:
        """Return the next holder to end, or ``None`` below the hard limit.

        It is the one without progress for the longest time, of the
        organisation that holds most. Holders of requests that must not be cut
        at their servers come last. The result is marked as ended.
        """
        if not self.is_above_hard:
            return None
        organisations = sorted(
            self._bytes_by_organisation,
            key=self._bytes_by_organisation.__getitem__,
            reverse=True,
        )
        for protected in (False, True):
            for organisation in organisations:
                for holder in self._holders[organisation]:
                    if holder.protected == protected and not holder.ended:
                        holder.ended = True
                        return holder
        return None


def _add(counts: dict[str, int], key: str, amount: int) -> None:
    total = counts.get(key, 0) + amount
    if total:
        counts[key] = total
    else:
        counts.pop(key, None)
