"""Compares what callers were told with what the leaves did."""

import collections
import heapq
from collections.abc import Iterable, Iterator
from typing import Any

from proofs import load
from standins import leaf_model

_LIMIT = 10


def expected_result(
    text: str, shards: Iterable[int], epoch: int, version: int
) -> Any:
    """Computes the merged result of some shards from scratch."""
    hits = []
    for shard in shards:
        call = {
            "shard": shard,
            "epoch": epoch,
            "version": version,
            "repeatable": True,
            "query": {"text": text},
        }
        hits += leaf_model.make_result(call)
    return heapq.nlargest(
        _LIMIT, hits, key=lambda hit: (hit["score"], str(hit["id"]))
    )


def check_search(sent: load.Sent) -> Iterator[str]:
    """Yields what is wrong with the answer to one search.

    The result is computed again from the shards that the answer claims to
    cover, at the version that it claims; so a mixed snapshot, a wrong
    coverage, another's answer or a truncated one all show.
    """
    row = sent.row
    if sent.status != 200:
        return
    coverage = row["coverage"]
    missing = {int(shard) for shard in coverage["missing"]}
    shards = set(range(coverage["total"])) - missing
    if len(shards) != coverage["answered"]:
        yield f"{sent.text}: coverage does not add up: {coverage}"
    version = row["snapshot"]["index_version"]
    epoch = row["snapshot"]["epoch"]
    if any(hit["version"] != version for hit in row["result"]):
        yield f"{sent.text}: mixed index versions"
    if row["result"] != expected_result(sent.text, shards, epoch, version):
        yield f"{sent.text}: not the result of the shards it claims"
    complete = row["code"] == "TPR-1000"
    if complete != (not missing):
        yield f"{sent.text}: code {row['code']} with missing {missing}"


def check_reservations(
    rows: Iterable[load.Sent], runs: Iterable[dict[str, Any]]
) -> Iterator[str]:
    """Yields each key that ran twice, or ran otherwise than was told."""
    count_by_key = collections.Counter(run["key"] for run in runs)
    for key, count in count_by_key.items():
        if key and count > 1:
            yield f"{key}: ran {count} times"
    told_by_key: dict[str, list[str]] = collections.defaultdict(list)
    for sent in rows:
        if sent.key:
            told_by_key[sent.key].append(sent.row.get("ran", "lost"))
    for key, told in told_by_key.items():
        count = count_by_key[key]
        if "yes" in told and count == 0:
            yield f"{key}: told yes, ran never"
        if set(told) == {"no"} and count:
            yield f"{key}: told no, ran {count} times"


def check_refusals(rows: Iterable[load.Sent]) -> Iterator[str]:
    """Yields each refusal that does not say when to come back."""
    for sent in rows:
        row = sent.row
        if str(row.get("code", "")).startswith("TPR-3") and (
            row["ran"] != "no" or not row.get("retry_after_ms")
        ):
            yield f"{sent.text}: refusal {row}"


def check_connections(leaf_rows: dict[str, Any], limit: int) -> Iterator[str]:
    """Yields each leaf whose connections passed its limit."""
    for leaf_id, row in leaf_rows.items():
        if row["peak"] > limit or row["refused"]:
            yield (
                f"{leaf_id}: peak {row['peak']} of {limit} connections, "
                f"{row['refused']} refused"
            )
