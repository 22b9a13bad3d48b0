"""Keys of the settings tree with type, unit, default, levels and meaning."""

from collections.abc import Iterable
from dataclasses import dataclass

from .errors import InvalidSettingError
from .paths import Level, parse_path
from .values import (
    BooleanValue,
    ChoiceValue,
    DigestListValue,
    IntegerValue,
    NameListValue,
    NumberValue,
    ValueType,
)

__all__ = ["SCHEMA", "KeySpec", "Schema"]

_ROOT_ONLY = frozenset({Level.ROOT})
_CUSTOMER_ONLY = frozenset({Level.CUSTOMER})
_CUSTOMER_AND_ROOT = frozenset({Level.ROOT, Level.CUSTOMER})
_ANY = frozenset({Level.ROOT, Level.KIND, Level.CUSTOMER, Level.CUSTOMER_KIND})
_MIB = 1024 * 1024
_SHOWN_LIMIT = 80


@dataclass(frozen=True, slots=True)
class KeySpec:
    """One key of the schema.

    :param unit: unit of the value; empty if it has none.
    :param default: value where no level sets the key, in normal form.
    :param levels: levels at which the key may be set.
    :param secret: whether a refused value may be a secret that was entered by mistake;
        messages then leave the value out.
    """

    name: str
    value_type: ValueType
    default: object
    levels: frozenset[Level]
    help: str
    unit: str = ""
    secret: bool = False

    def show(self, value: object) -> str:
        """Return a value as text for messages, shortened and without secrets."""
        if self.secret:
            return f"<not shown, {type(value).__name__}>"
        try:
            text = repr(value)
        # Python refuses to convert very long integers to decimal digits.
        except ValueError:
            text = f"<{type(value).__name__}>"
        return text if len(text) <= _SHOWN_LIMIT else text[:_SHOWN_LIMIT] + "..."


class Schema:
    """The set of known keys.

    :param specs: the keys.
    """

    def __init__(self, specs: Iterable[KeySpec]):
        self.specs_by_key = {spec.name: spec for spec in specs}

    def spec(self, path: str, key: str) -> KeySpec:
        """Return the specification of a key.

        :param path: path to name in the error.
        :raises InvalidSettingError: if the key is not known.
        """
        spec = self.specs_by_key.get(key)
        if spec is None:
            known = ", ".join(sorted(self.specs_by_key))
            raise InvalidSettingError(path, key[:64], "not a known key", known)
        return spec

    def check(self, path: str, key: str, value: object) -> object:
        """Check one value.

        :returns: the value's normal form.
        :raises InvalidSettingError: if path, key, level or value is not allowed.
        """
        return self.check_at_level(parse_path(path)[0], path, key, value)

    def check_at_level(
        self, level: Level, path: str, key: str, value: object
    ) -> object:
        """Check one value at a path whose level is known.

        :returns: the value's normal form.
        :raises InvalidSettingError: if key, level or value is not allowed.
        """
        spec = self.spec(path, key)
        if level not in spec.levels:
            names = ", ".join(sorted(each.value for each in spec.levels))
            raise InvalidSettingError(
                path, key, f"set at level {level.value}", f"levels {names}"
            )
        try:
            return spec.value_type.normalise(value)
        except ValueError:
            raise InvalidSettingError(
                path, key, spec.show(value), spec.value_type.allowed
            ) from None

    def parse_text(self, path: str, key: str, text: str) -> object:
        """Convert and check the text that an operator entered.

        :returns: the value's normal form.
        :raises InvalidSettingError: if path, key, level or value is not allowed.
        """
        spec = self.spec(path, key)
        try:
            value = spec.value_type.from_text(text)
        except ValueError:
            raise InvalidSettingError(
                path, key, spec.show(text), spec.value_type.allowed
            ) from None
        return self.check(path, key, value)


def _share(name: str, default: float, urgency: str) -> KeySpec:
    return KeySpec(
        name,
        NumberValue(0, 1),
        default,
        _ROOT_ONLY,
        f"Share of the slots that {urgency} work keeps while other classes flood.",
        unit="fraction of slots",
    )


def _quota(name: str, maximum: int, unit: str, what: str) -> KeySpec:
    return KeySpec(
        name,
        IntegerValue(0, maximum),
        0,
        _CUSTOMER_AND_ROOT,
        f"Most {what} that a customer uses at once across the fleet; 0 is unlimited.",
        unit=unit,
    )


# The upper limits of the resource quotas exceed the design size of 26,000 workers with
# 64 cores and 256 GB each.
SCHEMA = Schema(
    [
        KeySpec(
            "partitions_per_data_centre",
            IntegerValue(1, 64),
            1,
            _ROOT_ONLY,
            "Number of scheduling partitions in each data centre.",
            unit="partitions",
        ),
        _share("urgent_min_share", 0.3, "urgent"),
        _share("normal_min_share", 0.2, "normal"),
        _share("deferrable_min_share", 0.1, "deferrable"),
        KeySpec(
            "reserved_urgent_slots",
            NumberValue(0, 0.5),
            0.125,
            _ROOT_ONLY,
            "Fraction of the slots that only urgent work may use, so that it does "
            "not wait behind work that cannot be interrupted.",
            unit="fraction of slots",
        ),
        KeySpec(
            "dedup_window_s",
            NumberValue(1, 3600),
            600.0,
            _ROOT_ONLY,
            "Time for which a request identifier is remembered after its request "
            "has ended; memory grows with it.",
            unit="seconds",
        ),
        KeySpec(
            "operator_token_sha256",
            DigestListValue(),
            (),
            _ROOT_ONLY,
            "SHA-256 digests of the bearer tokens that operators may use.",
            secret=True,
        ),
        KeySpec(
            "urgency",
            ChoiceValue("urgent", "normal", "deferrable"),
            "normal",
            _ANY,
            "Class in which the work is queued; the most urgent class goes first.",
        ),
        KeySpec(
            "weight",
            IntegerValue(1, 1000),
            100,
            _ANY,
            "Share of the delivery round relative to customers and kinds of the "
            "same class.",
            unit="relative weight",
        ),
        KeySpec(
            "max_queue",
            IntegerValue(1, 1_000_000),
            1000,
            _ANY,
            "Longest queue of a kind; further requests are refused.",
            unit="requests",
        ),
        KeySpec(
            "max_run_s",
            NumberValue(0.01, 86400),
            30.0,
            _ANY,
            "Time after which a started attempt is stopped.",
            unit="seconds",
        ),
        KeySpec(
            "max_body_bytes",
            IntegerValue(1, 256 * _MIB),
            64 * _MIB,
            _ANY,
            "Largest request body.",
            unit="bytes",
        ),
        KeySpec(
            "repeatable",
            BooleanValue(),
            True,
            _ANY,
            "Whether a failed attempt may be repeated; false forbids retries even "
            "if the caller allows them.",
        ),
        KeySpec(
            "retry_ratio",
            NumberValue(0, 1),
            0.1,
            _ANY,
            "Retries that each first attempt earns for the retry budget of a kind.",
            unit="retries per first attempt",
        ),
        KeySpec(
            "max_attempts",
            IntegerValue(1, 10),
            3,
            _ANY,
            "Most attempts of one request, the first one included.",
            unit="attempts",
        ),
        KeySpec(
            "default_deadline_s",
            NumberValue(0.01, 86400),
            30.0,
            _ANY,
            "Deadline of a request whose caller states none, from its arrival.",
            unit="seconds",
        ),
        KeySpec(
            "data_centres",
            NameListValue(),
            (),
            _ANY,
            "Data centres in which the work may run; an empty list allows all.",
        ),
        KeySpec(
            "accepting",
            BooleanValue(),
            True,
            _ANY,
            "Whether new work is accepted; false refuses it with a typed error, "
            "for example before a cutover. Work in progress is not affected.",
        ),
        _quota("quota_slots", 1_000_000, "slots", "upstream slots"),
        _quota("quota_cpu_milli", 10**10, "thousandths of a core", "processor time"),
        _quota("quota_memory_mb", 10**11, "megabytes", "memory"),
        _quota("quota_accelerators", 1_000_000, "accelerators", "accelerators"),
        KeySpec(
            "token_sha256",
            DigestListValue(),
            (),
            _CUSTOMER_ONLY,
            "SHA-256 digests of the bearer tokens that identify the customer.",
            secret=True,
        ),
    ]
)
