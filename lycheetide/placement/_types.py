"""What placement is told and what it answers."""

from dataclasses import dataclass

OTHER_DOMAIN_COST_S = 0.002
"""A round trip between failure domains."""
RECOVERING_COST_S = 0.15
"""For a replica that was silent: others first while they are quick."""
COLD_COST_S = 0.05
"""For a replica that has just started, which is slow for some seconds."""
WAITS_PATIENCE = 0.5
"""Part of its caller's patience for which a prompt may stand behind others. What waits
longer seldom gets its first event before its caller leaves; its place was wasted."""
TOKENS_PER_WEIGHT = 15_000
"""A prompt weighs one more request for each so many tokens."""


@dataclass(frozen=True)
class Size:
    """What a request asks of a replica; zeros for one without a prompt."""

    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def tokens(self):
        """All tokens that it may take."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def weight(self):
        """How many short requests it counts as where one is weighed against others."""
        return 1.0 + self.prompt_tokens / TOKENS_PER_WEIGHT


@dataclass(frozen=True)
class GapGroup:
    """Requests that write at one replica and bear pauses of the same length.

    Parameters
    ----------
    gap_s : float
        The longest pause between two events that their callers don't notice.
    weight : float
        Of them together.
    """

    gap_s: float
    weight: float


@dataclass(frozen=True)
class UnreadPrompt:
    """A prompt, or a part of one, that a replica hasn't read yet.

    Parameters
    ----------
    slack_s : float
        How much later it may be read without being late; below 0 where it is.
    weight : float
        How many short requests it counts as.
    """

    slack_s: float
    weight: float


@dataclass(frozen=True)
class Arrivals:
    """The requests that come to a service meanwhile.

    Parameters
    ----------
    per_s : float
        How many start a second, at all nodes.
    target_s : float
        The shortest time in which a route of the service wants a first event.
    """

    per_s: float = 0.0
    target_s: float = 1.0


@dataclass(frozen=True)
class Candidate:
    """A replica that may take work, and what is known of its load.

    Parameters
    ----------
    id, address : str
        Which it is.
    rank : int
        Its place in an order that is the same at all nodes.
    slots : int
        Requests it processes at once.
    writers, helping : int
        What is sent there and hasn't ended.
    writing : tuple of GapGroup
        The writers, by the pauses that they bear.
    backlog_s : float
        Reading that was sent there and isn't done.
    unread : tuple of UnreadPrompt
        What it hasn't read yet.
    kv_tokens : int
        Memory taken.
    is_near : bool
        Whether it stands in this node's failure domain.
    is_recovering : bool
        Whether it was silent and hasn't answered since.
    is_cold : bool
        Whether it has just started, or turned cold.
    """

    id: str
    address: str
    rank: int
    slots: int
    writers: int = 0
    helping: int = 0
    writing: tuple[GapGroup, ...] = ()
    backlog_s: float = 0.0
    unread: tuple[UnreadPrompt, ...] = ()
    kv_tokens: int = 0
    is_near: bool = True
    is_recovering: bool = False
    is_cold: bool = False

    @property
    def extra_s(self):
        """What speaks against it beside its load."""
        return (
            (0.0 if self.is_near else OTHER_DOMAIN_COST_S)
            + (RECOVERING_COST_S if self.is_recovering else 0.0)
            + (COLD_COST_S if self.is_cold else 0.0)
        )

    @property
    def may_help(self):
        """Whether it may read a part of another replica's prompt."""
        is_trusted = not (self.is_recovering or self.is_cold)
        return is_trusted and self.helping < self.slots - 1

    def disturbed_weight(self, pause_s):
        """Return the weight of those writers that notice a pause."""
        return sum(group.weight for group in self.writing if group.gap_s < pause_s)

    def overtaken_weight(self, part_s):
        """Return the weight of the prompts here that a part makes late.

        A replica reads a part of another's prompt ahead of all that it hasn't read.
        A prompt whose other parts were read long ago then waits for this replica alone.
        """
        return sum(one.weight for one in self.unread if 0.0 < one.slack_s < part_s)


@dataclass(frozen=True)
class MemoryShare:
    """Memory that one replica sets aside for another's request."""

    replica: Candidate
    tokens: int


@dataclass(frozen=True)
class Placement:
    """Where a request goes.

    Parameters
    ----------
    first : Candidate
        Gets the request and writes the answer.
    helpers : tuple of Candidate
        Read a part of the prompt each.
    holders : tuple of MemoryShare
        Read a part each as well, and hold a share of its memory.
    expected_s : float
        Until the first event.
    part_read_s : float
        Reading of each part.
    waits_s : float
        Until its reading begins.
    harm : float
        Weight of the requests that its reading makes late.
    worth : float
        What the answer is worth to its caller by then, in the same weight.
    """

    first: Candidate
    helpers: tuple[Candidate, ...]
    expected_s: float
    part_read_s: float
    holders: tuple[MemoryShare, ...] = ()
    waits_s: float = 0.0
    harm: float = 0.0
    worth: float = 1.0

    def waits_too_long(self, patience_s):
        """Tell whether its caller would most likely leave before the first event."""
        return self.waits_s > WAITS_PATIENCE * patience_s

    def is_worthwhile(self, patience_s):
        """Tell whether a caller gets more from this place than others lose by it.

        A caller that would leave while its request stands behind others gets nothing.
        And a long prompt that can only be read where many write would make more
        requests late than it counts for itself; a moment later there may be room, or
        its caller comes back.

        Parameters
        ----------
        patience_s : float
            How long its caller waits for the first event.
        """
        return not self.waits_too_long(patience_s) and self.harm <= self.worth
