"""Alphabets and lengths of the kinds of texts that programs outside this package send.

A text that one boundary accepts has to fit into each head, address, log line, message
and file that carries it further. The alphabets exclude nothing else.
"""

import re
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TextKind:
    """What one kind of text may consist of; ``description`` is for error messages."""

    allowed: re.Pattern
    description: str
    max_characters: int

    def contains(self, text: str) -> bool:
        """Whether a text is of this kind."""
        if len(text) > self.max_characters:
            return False
        return self.allowed.fullmatch(text) is not None

    def __str__(self):
        return f"{self.description}, of at most {self.max_characters} characters"


# Header values are bytes of Latin-1; receivers drop blanks at both ends.
HEADER_VALUE = TextKind(
    allowed=re.compile("[!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?"),
    description="Latin-1 without control characters, and without blanks at the ends",
    max_characters=1024,
)
# Names stand in log lines and messages only, which escape what they cannot hold.
NAME = TextKind(
    allowed=re.compile("[^\x00-\x1f\x7f-\x9f\u2028\u2029]*"),
    description="text without control characters",
    max_characters=1024,
)
# A part of a request line or of the header Host.
REQUEST_TARGET = TextKind(
    allowed=re.compile("/[!-~\x80-\xff]*"),
    description="a path of Latin-1 without blanks and control characters",
    max_characters=8192,
)
HOST_NAME = TextKind(
    allowed=re.compile("[!-~\x80-\xff]*"),
    description="Latin-1 without blanks and control characters",
    max_characters=1024,
)
