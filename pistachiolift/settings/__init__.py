"""The settings tree: schema, revisions, changes, storage and the view in force."""

from .changes import apply
from .codec import (
    TREE_LIMIT_BYTES,
    decode_revision,
    decode_tree,
    encode_tree,
    encode_tree_for_peers,
)
from .errors import InvalidSettingError, SettingConflictError
from .operations import (
    ChangeAnswer,
    ChangeRequest,
    DiffAnswer,
    DiffRequest,
    ExportAnswer,
    GetAnswer,
    GetRequest,
    HistoryAnswer,
    HistoryRequest,
    ImportRequest,
    PropagationAnswer,
    SetRequest,
    SettingsOperations,
    UnsetRequest,
)
from .paths import ROOT, Level, parse_path, path_of
from .records import (
    Change,
    ChangeLog,
    Edit,
    EditAction,
    HistoryEntry,
    RecentChange,
    ValueChange,
)
from .repository import HISTORY_LIMIT, TREE_KEY, CommitResult, SettingsRepository
from .resolved import (
    CellSettings,
    CustomerSettings,
    KindSettings,
    ResolvedValue,
    Urgency,
)
from .schema import SCHEMA, KeySpec, Schema
from .toml_text import edits_between, from_toml, to_toml
from .tree import SettingsTree, diff
from .view import SettingsView

__all__ = [
    "HISTORY_LIMIT",
    "ROOT",
    "SCHEMA",
    "TREE_KEY",
    "TREE_LIMIT_BYTES",
    "CellSettings",
    "Change",
    "ChangeAnswer",
    "ChangeLog",
    "ChangeRequest",
    "CommitResult",
    "CustomerSettings",
    "DiffAnswer",
    "DiffRequest",
    "Edit",
    "EditAction",
    "ExportAnswer",
    "GetAnswer",
    "GetRequest",
    "HistoryAnswer",
    "HistoryEntry",
    "HistoryRequest",
    "ImportRequest",
    "InvalidSettingError",
    "KeySpec",
    "KindSettings",
    "Level",
    "PropagationAnswer",
    "RecentChange",
    "ResolvedValue",
    "Schema",
    "SetRequest",
    "SettingConflictError",
    "SettingsOperations",
    "SettingsRepository",
    "SettingsTree",
    "SettingsView",
    "UnsetRequest",
    "Urgency",
    "ValueChange",
    "apply",
    "decode_revision",
    "decode_tree",
    "diff",
    "edits_between",
    "encode_tree",
    "encode_tree_for_peers",
    "from_toml",
    "parse_path",
    "path_of",
    "to_toml",
]
