"""Export of the settings tree to TOML and import from it.

Root values come first, then ``[kind.KIND]`` for all customers,
``[customer.CUSTOMER]`` and ``[customer.CUSTOMER.kind.KIND]``.
"""

from collections.abc import Mapping

import msgspec

from ..common import InvalidInputError
from .paths import ROOT, Level, parse_path, path_of
from .records import Edit, EditAction
from .schema import SCHEMA
from .tree import SettingsTree

__all__ = ["TOML_LIMIT_BYTES", "edits_between", "from_toml", "to_toml"]

TOML_LIMIT_BYTES = 2_000_000
_REVISION = "revision"
_KIND = "kind"
_CUSTOMER = "customer"

_Values = dict[str, dict[str, object]]


def to_toml(tree: SettingsTree) -> str:
    """Export all values that the schema knows.

    :returns: TOML text; ``revision`` in it is the base for a later import.
    """
    document: dict[str, object] = {_REVISION: int(tree.revision)}
    document |= _known(tree.values_by_path[ROOT])
    kinds: dict[str, object] = {}
    customers: dict[str, dict[str, object]] = {}
    # In sorted order, a customer comes before its kinds.
    for path in sorted(tree.values_by_path):
        level, customer_id, kind_id = parse_path(path)
        values = _known(tree.values_by_path[path])
        if level is Level.KIND:
            kinds[kind_id] = values
        elif level is Level.CUSTOMER:
            customers[customer_id] = values
        elif level is Level.CUSTOMER_KIND:
            customers[customer_id].setdefault(_KIND, {})[kind_id] = values
    document |= {_KIND: kinds, _CUSTOMER: customers}
    return msgspec.toml.encode(document).decode()


def from_toml(text: str) -> tuple[int | None, _Values]:
    """Read an exported or hand-written file.

    :returns: the base revision, if the file states one, and the values by path.
    :raises InvalidInputError: if the text is not TOML of the described form.
    :raises InvalidSettingError: if a value or the tree as a whole is not allowed.
    """
    document = _parse(text)
    base = document.pop(_REVISION, None)
    if base is not None and (type(base) is not int or base < 0):
        raise InvalidInputError("revision in the file must be an integer of 0 or more")
    values_by_path: _Values = {}
    for kind_id, table in _tables(document, _KIND):
        values_by_path[path_of(None, kind_id)] = table
    for customer_id, table in _tables(document, _CUSTOMER):
        for kind_id, kind_table in _tables(table, _KIND):
            values_by_path[path_of(customer_id, kind_id)] = kind_table
        if "/" in customer_id:
            raise InvalidInputError(f"customer name {customer_id[:80]!r} has a slash")
        values_by_path[customer_id] = table
    values_by_path[ROOT] = document
    return base, dict(SettingsTree(0, values_by_path).values_by_path)


def edits_between(tree: SettingsTree, target: Mapping[str, Mapping]) -> list[Edit]:
    """Return the edits that turn a tree into the imported one.

    Keys that the schema does not know stay as they are, as they are not exported.

    :param target: values by path, in normal form.
    """
    edits = [
        Edit(EditAction.REMOVE, path)
        for path in sorted(tree.values_by_path.keys() - target.keys())
    ]
    for path in sorted(target):
        wanted = target[path]
        if path not in tree.values_by_path:
            edits.append(Edit(EditAction.CREATE, path))
        present = _known(tree.values_by_path.get(path, {}))
        edits += [
            Edit(EditAction.UNSET, path, key)
            for key in sorted(present.keys() - wanted.keys())
        ]
        edits += [
            Edit(EditAction.SET, path, key, value)
            for key, value in sorted(wanted.items())
            if present.get(key) != value
        ]
    return edits


def _known(values: Mapping[str, object]) -> dict[str, object]:
    return {key: values[key] for key in sorted(values) if key in SCHEMA.specs_by_key}


def _parse(text: str) -> dict[str, object]:
    size_bytes = len(text.encode(errors="replace"))
    if size_bytes > TOML_LIMIT_BYTES:
        raise InvalidInputError(
            f"file has {size_bytes} bytes; at most {TOML_LIMIT_BYTES} are allowed"
        )
    try:
        return msgspec.toml.decode(text, type=dict)
    # tomllib reports errors as ValueError; deeply nested arrays exhaust its stack.
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidInputError(f"file is not valid TOML: {error}") from error


def _tables(table: dict[str, object], name: str) -> list[tuple[str, dict]]:
    found = table.pop(name, {})
    if not isinstance(found, dict):
        raise InvalidInputError(f"{name!r} in the file must be a table")
    for key, value in found.items():
        if not isinstance(value, dict):
            raise InvalidInputError(f"{name}.{key[:80]} in the file must be a table")
    return list(found.items())
