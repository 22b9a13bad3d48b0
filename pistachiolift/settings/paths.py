"""Paths of the settings tree and the levels at which they lie."""

import re
from enum import Enum
from functools import lru_cache

from ..common import CustomerId, KindId
from .errors import InvalidSettingError

__all__ = ["ROOT", "Level", "branch_chain", "parse_path", "path_of"]

ROOT = ""
ALL_CUSTOMERS = "*"
# The length limit keeps paths, log lines and heartbeats short.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
_PATH_FORMS = (
    "'', '*/KIND', 'CUSTOMER' or 'CUSTOMER/KIND' with names of 1 to 64 letters, "
    "digits, '_', '.' and '-' that start with a letter or digit"
)


class Level(Enum):
    """Level at which a value is set, from the least to the most specific."""

    DEFAULT = "default"
    ROOT = "root"
    KIND = "kind"
    CUSTOMER = "customer"
    CUSTOMER_KIND = "customer_kind"


# Each new revision of the tree parses all paths again.
@lru_cache(maxsize=8192)
def parse_path(path: str) -> tuple[Level, CustomerId | None, KindId | None]:
    """Split a path into its level and names.

    :param path: one of ``""``, ``"*/KIND"``, ``"CUSTOMER"``, ``"CUSTOMER/KIND"``.
    :returns: the level, the customer and the kind, each ``None`` if not named.
    :raises InvalidSettingError: if the path has another form.
    """
    if path == ROOT:
        return Level.ROOT, None, None
    customer, separator, kind = path.partition("/")
    if separator and not _NAME.fullmatch(kind):
        raise InvalidSettingError(path[:200], "", "bad kind name", _PATH_FORMS)
    if customer == ALL_CUSTOMERS and separator:
        return Level.KIND, None, KindId(kind)
    if not _NAME.fullmatch(customer):
        raise InvalidSettingError(path[:200], "", "bad customer name", _PATH_FORMS)
    if separator:
        return Level.CUSTOMER_KIND, CustomerId(customer), KindId(kind)
    return Level.CUSTOMER, CustomerId(customer), None


def path_of(customer_id: str | None = None, kind_id: str | None = None) -> str:
    """Build a path.

    :param customer_id: the customer, or ``None`` for all customers.
    :param kind_id: the kind, or ``None`` for the customer or the root itself.
    """
    if kind_id is None:
        return ROOT if customer_id is None else customer_id
    return f"{ALL_CUSTOMERS if customer_id is None else customer_id}/{kind_id}"


def branch_chain(path: str) -> tuple[str, ...]:
    """Return the paths whose values apply at a path, most specific first.

    :raises InvalidSettingError: if the path has no valid form.
    """
    level, customer_id, kind_id = parse_path(path)
    if level is Level.ROOT:
        return (ROOT,)
    if level is Level.CUSTOMER_KIND:
        return (path, path_of(customer_id), path_of(kind_id=kind_id), ROOT)
    return (path, ROOT)
