"""Failures that are specific to the settings tree."""

from ..common import ConflictError, InvalidInputError

__all__ = ["InvalidSettingError", "SettingConflictError"]


class InvalidSettingError(InvalidInputError):
    """A value, a path or the tree as a whole breaks a rule of the schema.

    :param path: path of the branch concerned.
    :param key: key concerned; empty if the path itself is at fault.
    :param shown_value: the value as text, without secrets.
    :param allowed: description of the accepted values.
    """

    def __init__(self, path: str, key: str, shown_value: str, allowed: str):
        super().__init__(
            f"setting {key!r} at path {path!r} is {shown_value}; allowed: {allowed}"
            if key
            else f"path {path!r} is not valid: {shown_value}; allowed: {allowed}"
        )
        self.path = path
        self.key = key
        self.allowed = allowed


class SettingConflictError(ConflictError):
    """The same path and key changed after the revision that the operator saw.

    :param path: path of the branch concerned.
    :param key: key concerned; empty for the branch as a whole.
    :param reason: why the change conflicts.
    :param current_revision: revision of the tree to which the change was applied.
    """

    def __init__(self, path: str, key: str, reason: str, *, current_revision: int):
        super().__init__(
            f"setting {key!r} at path {path!r} conflicts: {reason}; "
            f"current revision is {current_revision}"
        )
        self.path = path
        self.key = key
        self.current_revision = current_revision
