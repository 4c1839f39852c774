"""Compression of contents, alone or relative to an earlier content."""

from typing import Final

import zstandard

# Enough for a table of several hundred thousand routes.
MAX_UNPACKED_BYTES: Final = 67_108_864


def compress_bytes(content: bytes) -> bytes:
    """Return bytes compressed by zstandard."""
    return zstandard.ZstdCompressor().compress(content)


def decompress_bytes(content: bytes) -> bytes:
    """Return the bytes that `compress_bytes` compressed.

    Raises
    ------
    ValueError
        If the bytes are damaged.
    """
    return _decompress(zstandard.ZstdDecompressor(), content)


def compress_change(content: bytes, base: bytes) -> bytes:
    """Return bytes compressed relative to a similar content.

    Explanation
    ===========

    The base serves as the dictionary, so that the size of the result grows
    with the difference and not with the content.

    Parameters
    ----------
    content : bytes
        Bytes to compress.
    base : bytes
        Content that the receiver has, not empty.
    """
    # The checksum detects another base, which the format itself does not.
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base),
        write_checksum=True,
    )
    return compressor.compress(content)


def decompress_change(change: bytes, base: bytes) -> bytes:
    """Return the bytes that `compress_change` compressed.

    Raises
    ------
    ValueError
        If the bytes are damaged or were compressed relative to another base.
    """
    decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
    return _decompress(decompressor, change)


def apply_change(compressed: bytes, change: bytes) -> bytes:
    """Return a compressed content after a change, compressed again.

    Parameters
    ----------
    compressed : bytes
        The base, as `compress_bytes` returns it.
    change : bytes
        The change, as `compress_change` returns it.

    Raises
    ------
    ValueError
        As `decompress_change`.
    """
    content = decompress_change(change, decompress_bytes(compressed))
    return compress_bytes(content)


def _decompress(
    decompressor: zstandard.ZstdDecompressor,
    content: bytes,
) -> bytes:
    try:
        return decompressor.decompress(
            content,
            max_output_size=MAX_UNPACKED_BYTES,
        )
    except zstandard.ZstdError as error:
        raise ValueError(str(error)) from error


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        base,
        dict_type=zstandard.DICT_TYPE_RAWCONTENT,
    )
