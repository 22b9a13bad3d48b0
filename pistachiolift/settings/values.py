"""Types of setting values: checks, normal forms and descriptions."""

import math
import re
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = [
    "BooleanValue",
    "ChoiceValue",
    "DigestListValue",
    "IntegerValue",
    "NameListValue",
    "NumberValue",
    "ValueType",
]

LIST_LIMIT = 64
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


class ValueType(ABC):
    """Type of the values of a key."""

    @property
    @abstractmethod
    def allowed(self) -> str:
        """Description of the accepted values, for messages and the documentation."""

    @abstractmethod
    def normalise(self, value: object) -> object:
        """Return the value's immutable normal form.

        :raises ValueError: if the value is not accepted.
        """

    @abstractmethod
    def from_text(self, text: str) -> object:
        """Convert the text that an operator entered; the result is not checked yet.

        :raises ValueError: if the text does not represent a value of this type.
        """


class IntegerValue(ValueType):
    """Integers of a range, both ends included."""

    def __init__(self, minimum: int, maximum: int):
        self._minimum = minimum
        self._maximum = maximum

    @property
    def allowed(self) -> str:
        """The range."""
        return f"an integer from {self._minimum} to {self._maximum}"

    def normalise(self, value: object) -> int:
        """Accept integers only; ``True`` is not 1."""
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError("not an integer")
        if not self._minimum <= value <= self._maximum:
            raise ValueError("out of range")
        return value

    def from_text(self, text: str) -> int:
        """Convert decimal digits."""
        return int(text)


class NumberValue(ValueType):
    """Finite numbers of a range, both ends included; stored as float."""

    def __init__(self, minimum: float, maximum: float):
        self._minimum = minimum
        self._maximum = maximum

    @property
    def allowed(self) -> str:
        """The range."""
        return f"a number from {self._minimum:g} to {self._maximum:g}"

    def normalise(self, value: object) -> float:
        """Accept integers and floats, but neither booleans nor NaN."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError("not a number")
        # The comparison comes first: a huge integer does not convert to float.
        if not self._minimum <= value <= self._maximum:
            raise ValueError("out of range")
        return float(value)

    def from_text(self, text: str) -> float:
        """Convert a decimal number."""
        number = float(text)
        if not math.isfinite(number):
            raise ValueError("not finite")
        return number


class BooleanValue(ValueType):
    """``true`` or ``false``."""

    allowed = "true or false"

    def normalise(self, value: object) -> bool:
        """Accept booleans only."""
        if not isinstance(value, bool):
            raise ValueError("not a boolean")
        return value

    def from_text(self, text: str) -> bool:
        """Convert ``true`` and ``false``."""
        if text not in ("true", "false"):
            raise ValueError("neither true nor false")
        return text == "true"


class ChoiceValue(ValueType):
    """One of a closed set of words."""

    def __init__(self, *choices: str):
        self._choices = choices

    @property
    def allowed(self) -> str:
        """The words."""
        return "one of " + ", ".join(self._choices)

    def normalise(self, value: object) -> str:
        """Accept one of the words."""
        if not isinstance(value, str) or value not in self._choices:
            raise ValueError("not one of the choices")
        return value

    def from_text(self, text: str) -> str:
        """Return the word."""
        return text


class _ListValue(ValueType):
    """Lists of distinct strings that match a pattern; stored as tuple."""

    def __init__(self, pattern: re.Pattern[str], item: str):
        self._matches: Callable[[str], object] = pattern.fullmatch
        self._item = item

    @property
    def allowed(self) -> str:
        """The form of the items."""
        return f"a list of at most {LIST_LIMIT} distinct {self._item}"

    def normalise(self, value: object) -> tuple[str, ...]:
        """Accept lists and tuples."""
        if not isinstance(value, list | tuple) or len(value) > LIST_LIMIT:
            raise ValueError("not a list of allowed length")
        if not all(isinstance(item, str) and self._matches(item) for item in value):
            raise ValueError("bad item")
        if len(set(value)) != len(value):
            raise ValueError("repeated item")
        return tuple(value)

    def from_text(self, text: str) -> list[str]:
        """Split at commas; an empty text is an empty list."""
        return [item.strip() for item in text.split(",")] if text.strip() else []


class NameListValue(_ListValue):
    """Names of data centres."""

    def __init__(self) -> None:
        super().__init__(_NAME, "names of 1 to 64 letters, digits, '_', '.' and '-'")


class DigestListValue(_ListValue):
    """SHA-256 digests in hexadecimal."""

    def __init__(self) -> None:
        super().__init__(_DIGEST, "SHA-256 digests of 64 lower-case hex digits")
