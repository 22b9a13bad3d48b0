"""The immutable settings tree and the resolution of its values."""

import math
from collections.abc import Mapping
from types import MappingProxyType

from ..common import CustomerId, KindId, NotFoundError, Revision
from .checks import check_whole_tree
from .errors import InvalidSettingError
from .paths import ROOT, Level, branch_chain, parse_path, path_of
from .records import ChangeLog, ValueChange
from .resolved import (
    CellSettings,
    CustomerSettings,
    KindSettings,
    ResolvedValue,
    Urgency,
)
from .schema import SCHEMA

__all__ = ["SettingsTree", "diff"]

_KIND_KEYS = tuple(
    name for name in KindSettings.__struct_fields__ if name in SCHEMA.specs_by_key
)
_CUSTOMER_KEYS = tuple(
    name for name in CustomerSettings.__struct_fields__ if name in SCHEMA.specs_by_key
)
_CELL_KEYS = CellSettings.__struct_fields__


class SettingsTree:
    """All settings at one revision.

    :param revision: number that orders all trees; 0 for the tree of defaults.
    :param values_by_path: for each path the values by key; a path without values
        still exists.
    :param log: records of the last changes.
    :param base: an earlier tree, whose unchanged branches are reused without another
        check, because a process rebuilds the tree for each of 10,000 changes a day.
    :param allow_unknown: keep keys that the schema does not know. A newer release
        may have written them, and a change by this release must not delete them.
    :raises InvalidSettingError: if a value or the tree as a whole is not allowed.
    """

    __slots__ = (
        "_cell",
        "_customers_by_id",
        "_customers_by_token",
        "_kinds_by_ids",
        "log",
        "revision",
        "values_by_path",
    )

    def __init__(
        self,
        revision: int = 0,
        values_by_path: Mapping[str, Mapping[str, object]] | None = None,
        *,
        log: ChangeLog = ChangeLog(),
        base: "SettingsTree | None" = None,
        allow_unknown: bool = False,
    ):
        branches = {ROOT: {}, **(values_by_path or {})}
        known = {} if base is None else base.values_by_path
        checked = {
            path: known[path]
            if known.get(path) == values
            else MappingProxyType(_check_branch(path, values, allow_unknown))
            for path, values in branches.items()
        }
        values = MappingProxyType(checked)
        check_whole_tree(values)
        set_attribute = object.__setattr__
        set_attribute(self, "revision", Revision(revision))
        set_attribute(self, "values_by_path", values)
        set_attribute(self, "log", log)
        set_attribute(self, "_kinds_by_ids", {})
        set_attribute(self, "_customers_by_id", {})
        set_attribute(self, "_customers_by_token", _token_index(values))
        set_attribute(self, "_cell", CellSettings(**self._lookup((ROOT,), _CELL_KEYS)))

    def __setattr__(self, name: str, value: object) -> None:
        raise AttributeError(f"cannot set {name!r}: a settings tree is immutable")

    @property
    def customer_ids(self) -> list[CustomerId]:
        """All customers, sorted."""
        levels = ((path, parse_path(path)[0]) for path in self.values_by_path)
        return sorted(CustomerId(p) for p, level in levels if level is Level.CUSTOMER)

    def kind_ids(self, customer_id: CustomerId) -> list[KindId]:
        """Return all kinds that exist for a customer, sorted.

        :raises NotFoundError: if the customer does not exist.
        """
        self._require_customer(customer_id)
        parsed = (parse_path(path) for path in self.values_by_path)
        return sorted(
            {
                kind
                for level, customer, kind in parsed
                if level is Level.KIND
                or (level is Level.CUSTOMER_KIND and customer == customer_id)
            }
        )

    def with_log(self, log: ChangeLog) -> "SettingsTree":
        """Return the same settings with another change log."""
        # The values are shared and have been checked before.
        copy = object.__new__(SettingsTree)
        for name in self.__slots__:
            object.__setattr__(copy, name, getattr(self, name))
        object.__setattr__(copy, "log", log)
        return copy

    def resolve(self, path: str, key: str) -> ResolvedValue:
        """Return the value in force at a path and where it comes from.

        :raises NotFoundError: if the customer or the kind does not exist.
        :raises InvalidSettingError: if the path or key is not valid.
        """
        self._require(path)
        spec = SCHEMA.spec(path, key)
        for source in branch_chain(path):
            values = self.values_by_path.get(source)
            if values is not None and key in values:
                level = parse_path(source)[0]
                return ResolvedValue(key, values[key], level, source, spec.unit)
        return ResolvedValue(key, spec.default, Level.DEFAULT, None, spec.unit)

    def resolve_kind(self, customer_id: CustomerId, kind_id: KindId) -> KindSettings:
        """Return the settings of a kind of a customer.

        The result is cached for the life of the tree, because every request needs
        it. Names that do not exist are not cached, so callers cannot fill memory.

        :raises NotFoundError: if the customer or the kind does not exist.
        """
        found = self._kinds_by_ids.get((customer_id, kind_id))
        if found is None:
            found = self._build_kind(customer_id, kind_id)
            self._kinds_by_ids[customer_id, kind_id] = found
        return found

    def resolve_customer(self, customer_id: CustomerId) -> CustomerSettings:
        """Return the settings of a customer; cached for the life of the tree.

        :raises NotFoundError: if the customer does not exist.
        """
        found = self._customers_by_id.get(customer_id)
        if found is None:
            self._require_customer(customer_id)
            fields = self._lookup((customer_id, ROOT), _CUSTOMER_KEYS)
            found = CustomerSettings(customer_id=customer_id, **fields)
            self._customers_by_id[customer_id] = found
        return found

    def cell(self) -> CellSettings:
        """Return the settings of the whole cell."""
        return self._cell

    def customer_of_token(self, token_sha256: str) -> CustomerId | None:
        """Return the customer that a bearer token identifies.

        :param token_sha256: SHA-256 digest of the token, lower-case hexadecimal.
        """
        return self._customers_by_token.get(token_sha256)

    def is_operator_token(self, token_sha256: str) -> bool:
        """Whether a bearer token belongs to an operator.

        :param token_sha256: SHA-256 digest of the token, lower-case hexadecimal.
        """
        return token_sha256 in self._cell.operator_token_sha256

    def _build_kind(self, customer_id: CustomerId, kind_id: KindId) -> KindSettings:
        path = path_of(customer_id, kind_id)
        self._require_kind(customer_id, kind_id)
        fields = self._lookup(branch_chain(path), _KIND_KEYS)
        fields["urgency"] = Urgency(fields["urgency"])
        return KindSettings(customer_id=customer_id, kind_id=kind_id, **fields)

    def _lookup(
        self, chain: tuple[str, ...], keys: tuple[str, ...]
    ) -> dict[str, object]:
        found = {key: SCHEMA.specs_by_key[key].default for key in keys}
        for path in reversed(chain):
            values = self.values_by_path.get(path, {})
            found.update((key, values[key]) for key in keys if key in values)
        return found

    def _require(self, path: str) -> None:
        level, customer_id, kind_id = parse_path(path)
        if level is Level.CUSTOMER_KIND:
            self._require_kind(customer_id, kind_id)
        elif path not in self.values_by_path:
            raise NotFoundError(f"settings have no path {path!r}")

    def _require_customer(self, customer_id: CustomerId) -> None:
        # The root and the branches of kinds are paths too, but no customers.
        is_customer = customer_id != ROOT and "/" not in customer_id
        if not is_customer or customer_id not in self.values_by_path:
            raise NotFoundError(f"customer {customer_id[:80]!r} does not exist")

    def _require_kind(self, customer_id: CustomerId, kind_id: KindId) -> None:
        self._require_customer(customer_id)
        paths = self.values_by_path
        if path_of(customer_id, kind_id) in paths or path_of(None, kind_id) in paths:
            return
        raise NotFoundError(
            f"kind {kind_id[:80]!r} does not exist for customer {customer_id!r}"
        )


def diff(old: SettingsTree, new: SettingsTree) -> list[ValueChange]:
    """Return the differences between two trees, sorted by path and key.

    Tokens appear as the digests that the trees hold.
    """
    changes = []
    for path in sorted(old.values_by_path.keys() | new.values_by_path.keys()):
        before, after = old.values_by_path.get(path), new.values_by_path.get(path)
        if (before is None) != (after is None):
            changes.append(ValueChange(path, "", before is not None, after is not None))
        before, after = before or {}, after or {}
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                changes.append(ValueChange(path, key, before.get(key), after.get(key)))
    return changes


def _check_branch(
    path: str, values: Mapping[str, object], allow_unknown: bool
) -> dict[str, object]:
    level = parse_path(path)[0]
    return {
        key: _check_unknown(path, key, value)
        if allow_unknown and key not in SCHEMA.specs_by_key
        else SCHEMA.check_at_level(level, path, key, value)
        for key, value in values.items()
    }


def _check_unknown(path: str, key: str, value: object) -> object:
    items = value if isinstance(value, list | tuple) else (value,)
    for item in items:
        plain = isinstance(item, bool | int | str)
        if not plain and not (isinstance(item, float) and math.isfinite(item)):
            raise InvalidSettingError(
                path, key[:64], f"a {type(item).__name__}", "a plain value or a list"
            )
    return tuple(value) if isinstance(value, list) else value


def _token_index(
    values_by_path: Mapping[str, Mapping[str, object]],
) -> dict[str, CustomerId]:
    return {
        digest: CustomerId(path)
        for path, values in values_by_path.items()
        for digest in values.get("token_sha256", ())
    }
