"""Encoding of records for the store and for other VMs."""

from typing import Any

import expression
import orjson

from trefoilpier.quarantine import evidence


def encode_records(records: dict[str, evidence.RequestRecord]) -> bytes:
    """Encode records as JSON.

    >>> decode_records(encode_records({})).ok
    {}
    """
    return orjson.dumps(to_document(records))


def to_document(
    records: dict[str, evidence.RequestRecord],
) -> dict[str, dict[str, Any]]:
    """Return records as JSON objects by fingerprint."""
    return {
        fingerprint: {
            "request": record.description,
            "ends": {
                leaf: [end.service, end.sent_ms, end.ended_ms]
                for leaf, end in record.end_by_leaf.items()
            },
            "cleared": sorted(record.cleared),
            "answered_ms": record.answered_ms,
        }
        for fingerprint, record in records.items()
    }


def decode_records(
    data: bytes | None,
) -> expression.Result[dict[str, evidence.RequestRecord], str]:
    """Decode records; the error describes what is invalid.

    >>> decode_records(b"[]").error
    'not a JSON object'
    """
    try:
        document = orjson.loads(data or b"")
    except ValueError as error:
        return expression.Error(str(error))
    return parse_document(document)


def parse_document(
    document: Any,
) -> expression.Result[dict[str, evidence.RequestRecord], str]:
    """Return the records of a document; the error says what is invalid."""
    if not isinstance(document, dict):
        return expression.Error("not a JSON object")
    try:
        return expression.Ok(
            {
                str(fingerprint): _parse_record(row)
                for fingerprint, row in document.items()
            }
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return expression.Error(f"{type(error).__name__}: {error}")


def _parse_record(row: dict[str, Any]) -> evidence.RequestRecord:
    return evidence.RequestRecord(
        description=str(row["request"]),
        end_by_leaf={
            str(leaf): evidence.LeafEnd(
                service=str(service),
                sent_ms=int(sent_ms),
                ended_ms=int(ended_ms),
            )
            for leaf, (service, sent_ms, ended_ms) in row["ends"].items()
        },
        cleared={str(leaf) for leaf in row["cleared"]},
        answered_ms=int(row["answered_ms"]),
    )
