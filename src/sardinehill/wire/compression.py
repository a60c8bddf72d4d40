"""Compresses long fields of messages between daemons."""

import zlib


def compress(data: bytes) -> tuple[bytes, bool]:
    """Returns the data, compressed if that makes it shorter.

    Returns:
      The data, and whether it is compressed.
    """
    compressed = zlib.compress(data, zlib.Z_BEST_SPEED)
    if len(compressed) < len(data):
        return compressed, True
    return data, False


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Returns the data that `compress` compressed.

    The output is bounded, because a few compressed bytes can expand to any
    number of bytes.

    Raises:
      ValueError: the data is malformed, or longer than `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"not compressed data: {error}") from error
    if not decompressor.eof:
        raise ValueError("the compressed data is too long or truncated")
    return decompressed
