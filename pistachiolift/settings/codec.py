"""Encoded forms of the settings tree, of changes and of history entries.

In the store a tree is MessagePack with its change log. Between peers it is the same
without the log, compressed with zlib: it is sent to every instance for each change,
and the checksum of zlib detects damage that would otherwise look like a high revision.
"""

import zlib
from typing import Any, TypeVar

import msgspec

from ..common import InvalidInputError, MalformedMessageError, Message, Revision
from .records import ChangeLog, HistoryEntry
from .tree import SettingsTree

__all__ = [
    "TREE_LIMIT_BYTES",
    "decode_entry",
    "decode_revision",
    "decode_tree",
    "encode_entry",
    "encode_tree",
    "encode_tree_for_peers",
]

T = TypeVar("T")

# The store refuses values above 1 MB.
TREE_LIMIT_BYTES = 1_000_000
FORMAT_VERSION = 1
# A zlib stream always starts with this byte, the MessagePack form of a struct never.
_ZLIB_FIRST_BYTE = 0x78


class _TreeHeader(Message, kw_only=True):
    revision: int


class _TreeMessage(_TreeHeader, kw_only=True):
    values_by_path: dict[str, dict[str, Any]]
    log: ChangeLog = ChangeLog()


_HEADER_DECODER = msgspec.msgpack.Decoder(_TreeHeader)
_TREE_DECODER = msgspec.msgpack.Decoder(_TreeMessage)
_ENTRY_DECODER = msgspec.msgpack.Decoder(HistoryEntry)


def encode_tree(tree: SettingsTree) -> bytes:
    """Encode a tree with its change log, as it is stored."""
    return _encode(tree, tree.log)


def encode_tree_for_peers(tree: SettingsTree) -> bytes:
    """Encode a tree without its change log, compressed, as peers exchange it."""
    return zlib.compress(_encode(tree, ChangeLog()))


def decode_tree(data: bytes, *, base: SettingsTree | None = None) -> SettingsTree:
    """Decode a tree in either form.

    :param base: an earlier tree, whose unchanged branches are not checked again.

    :raises MalformedMessageError: if the bytes are no valid tree.
    """
    message = _decode(_TREE_DECODER, _decompress(data))
    _check_header(message)
    try:
        return SettingsTree(
            message.revision,
            message.values_by_path,
            log=message.log,
            base=base,
            allow_unknown=True,
        )
    except InvalidInputError as error:
        raise MalformedMessageError(f"settings tree is not valid: {error}") from error


def decode_revision(data: bytes) -> Revision:
    """Return the revision of an encoded tree without building the tree.

    :raises MalformedMessageError: if the bytes do not decode.
    """
    header = _decode(_HEADER_DECODER, _decompress(data))
    _check_header(header)
    return Revision(header.revision)


def encode_entry(entry: HistoryEntry) -> bytes:
    """Encode a history entry, as it is stored."""
    return msgspec.msgpack.encode(entry)


def decode_entry(data: bytes) -> HistoryEntry:
    """Decode a history entry.

    :raises MalformedMessageError: if the bytes are no history entry.
    """
    entry = _decode(_ENTRY_DECODER, data)
    if entry.version != FORMAT_VERSION:
        raise MalformedMessageError(f"history entry has version {entry.version}")
    return entry


def _encode(tree: SettingsTree, log: ChangeLog) -> bytes:
    return msgspec.msgpack.encode(
        _TreeMessage(
            revision=tree.revision,
            values_by_path={p: dict(v) for p, v in tree.values_by_path.items()},
            log=log,
        )
    )


def _decompress(data: bytes) -> bytes:
    if not data or data[0] != _ZLIB_FIRST_BYTE:
        return data
    # The output limit prevents a small message from exhausting the memory.
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, TREE_LIMIT_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(f"settings tree is damaged: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise MalformedMessageError(
            f"settings tree is incomplete or above {TREE_LIMIT_BYTES} bytes"
        )
    return plain


def _decode(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    if len(data) > TREE_LIMIT_BYTES:
        raise MalformedMessageError(
            f"message has {len(data)} bytes; at most {TREE_LIMIT_BYTES} are allowed"
        )
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise MalformedMessageError(f"message does not decode: {error}") from error


def _check_header(header: _TreeHeader) -> None:
    if header.version != FORMAT_VERSION:
        raise MalformedMessageError(
            f"settings tree has version {header.version}; known: {FORMAT_VERSION}"
        )
    if not 0 <= header.revision < 2**63:
        raise MalformedMessageError(
            f"settings tree has revision {header.revision}; allowed: 0 to 2**63 - 1"
        )
