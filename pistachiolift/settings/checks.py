"""Rules that apply to the settings tree as a whole."""

from collections.abc import Mapping

from .errors import InvalidSettingError
from .paths import ROOT, Level, parse_path
from .schema import SCHEMA

__all__ = ["check_whole_tree"]

_SHARES = ("urgent_min_share", "normal_min_share", "deferrable_min_share")
# Sums of decimal fractions such as 0.7 + 0.2 + 0.1 exceed 1 by rounding.
_ROUNDING = 1e-9


def check_whole_tree(values_by_path: Mapping[str, Mapping[str, object]]) -> None:
    """Check the rules that involve more than one value.

    :param values_by_path: values that passed the check of the schema.
    :raises InvalidSettingError: if a rule is broken.
    """
    root = values_by_path[ROOT]
    _check_sum(root, _SHARES)
    # Other classes cannot use the slots reserved for urgent work, so their minimum
    # shares must fit into the rest.
    _check_sum(root, ("reserved_urgent_slots", *_SHARES[1:]))
    _check_parents(values_by_path)
    _check_tokens(values_by_path)


def _check_sum(root: Mapping[str, object], keys: tuple[str, ...]) -> None:
    defaults = SCHEMA.specs_by_key
    shares = [root.get(key, defaults[key].default) for key in keys]
    if sum(shares) > 1 + _ROUNDING:
        shown = " + ".join(f"{share:g}" for share in shares)
        raise InvalidSettingError(
            ROOT, " + ".join(keys), f"{shown} = {sum(shares):g}", "a sum of at most 1"
        )


def _check_parents(values_by_path: Mapping[str, Mapping[str, object]]) -> None:
    for path in values_by_path:
        level, customer_id, _ = parse_path(path)
        if level is Level.CUSTOMER_KIND and customer_id not in values_by_path:
            raise InvalidSettingError(
                path,
                "",
                f"customer {customer_id!r} does not exist",
                "kinds of existing customers; create the customer first and remove "
                "its kinds before or together with it",
            )


def _check_tokens(values_by_path: Mapping[str, Mapping[str, object]]) -> None:
    path_by_digest = dict.fromkeys(
        values_by_path[ROOT].get("operator_token_sha256", ()), ROOT
    )
    for path, values in values_by_path.items():
        for digest in values.get("token_sha256", ()):
            other = path_by_digest.setdefault(digest, path)
            if other != path:
                raise InvalidSettingError(
                    path,
                    "token_sha256",
                    f"also used at path {other!r}",
                    "tokens that identify one customer, or operators only",
                )
