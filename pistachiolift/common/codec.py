"""Encoding of typed messages, with size limits on what is decoded."""

from typing import TypeVar

import msgspec

from .errors import MalformedMessageError

__all__ = ["Message", "decode_json", "encode_json"]

T = TypeVar("T")


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base class of messages sent over the network.

    :param version: version of the message's format.
    """

    version: int = 1


def encode_json(value: object) -> bytes:
    """Encode a message or a plain value as JSON.

    :param value: anything that msgspec encodes.
    :returns: the JSON text.
    """
    return msgspec.json.encode(value)


def decode_json(data: bytes, message_type: type[T], *, limit_bytes: int) -> T:
    """Decode JSON into a typed message.

    :param data: the JSON text.
    :param message_type: the expected type.
    :param limit_bytes: maximum length of the text, in bytes.
    :returns: the message.
    :raises MalformedMessageError: if the text is too long or does not match the type.
    """
    if len(data) > limit_bytes:
        raise MalformedMessageError(
            f"message has {len(data)} bytes; at most {limit_bytes} are allowed"
        )
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"message does not decode: {error}") from error
