"""Structured logging: one line of key=value pairs for each event."""

import logging

__all__ = ["configure_logging", "log_event"]

_NEEDS_QUOTES = set(' ="\n\r\t')


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def log_event(
    logger: logging.Logger, event: str, *, level: int = logging.INFO, **fields: object
) -> None:
    """Log an event as a line of key=value pairs.

    :param logger: the logger of the calling module.
    :param event: name of the event in snake case.
    :param level: a level of :mod:`logging`.
    :param fields: the pairs; values with whitespace, ``=`` or quotes are quoted.
    """
    if not logger.isEnabledFor(level):
        return
    pairs = [f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    logger.log(level, "%s", " ".join(pairs))


def configure_logging(level_name: str) -> None:
    """Configure logging to standard error with a timestamp and a level.

    :param level_name: name of a level of :mod:`logging`, such as ``INFO``.
    """
    logging.basicConfig(
        level=level_name,
        format="time=%(asctime)s.%(msecs)03d level=%(levelname)s logger=%(name)s "
        "%(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )
