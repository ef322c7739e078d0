"""Checks of the answers to callers against the ledgers of the leaves."""

import collections
import heapq
from collections.abc import Iterable, Iterator
from typing import Any

from proofs import load
from standins import leaf_model

_RESULT_LIMIT = 10


def expected_result(
    text: str, shards: Iterable[int], epoch: int, version: int
) -> Any:
    """Compute the expected merged result of the given shards."""
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
        _RESULT_LIMIT, hits, key=lambda hit: (hit["score"], str(hit["id"]))
    )


def check_search(request: load.RequestRecord) -> Iterator[str]:
    """Yield the errors in the answer to one search.

    Recomputes the result for the shards and the index version that the answer
    reports. This detects a mixed snapshot, wrong coverage, the answer to
    another request and a truncated answer.
    """
    answer = request.response
    if request.status != 200:
        return
    coverage = answer["coverage"]
    missing = {int(shard) for shard in coverage["missing"]}
    shards = set(range(coverage["total"])) - missing
    if len(shards) != coverage["answered"]:
        yield f"{request.text}: coverage is inconsistent: {coverage}"
    version = answer["snapshot"]["index_version"]
    epoch = answer["snapshot"]["epoch"]
    if any(hit["version"] != version for hit in answer["result"]):
        yield f"{request.text}: mixed index versions"
    if answer["result"] != expected_result(
        request.text, shards, epoch, version
    ):
        yield f"{request.text}: result differs from that of the reported shards"
    complete = answer["code"] == "TPR-1000"
    if complete != (not missing):
        yield (
            f"{request.text}: code {answer['code']} with missing shards "
            f"{missing}"
        )


def check_reservations(
    requests: Iterable[load.RequestRecord], runs: Iterable[dict[str, Any]]
) -> Iterator[str]:
    """Yield each key that ran twice or whose reported outcome is wrong."""
    count_by_key = collections.Counter(run["key"] for run in runs)
    for key, count in count_by_key.items():
        if key and count > 1:
            yield f"{key}: ran {count} times"
    reported_by_key: dict[str, list[str]] = collections.defaultdict(list)
    for request in requests:
        if request.key:
            reported_by_key[request.key].append(
                request.response.get("ran", "lost")
            )
    for key, reported in reported_by_key.items():
        count = count_by_key[key]
        if "yes" in reported and count == 0:
            yield f"{key}: reported as run, but never ran"
        if set(reported) == {"no"} and count:
            yield f"{key}: reported as not run, but ran {count} times"


def check_refusals(requests: Iterable[load.RequestRecord]) -> Iterator[str]:
    """Yield each refusal without ``ran=no`` or a retry delay."""
    for request in requests:
        answer = request.response
        if str(answer.get("code", "")).startswith("TPR-3") and (
            answer["ran"] != "no" or not answer.get("retry_after_ms")
        ):
            yield (
                f"{request.text}: refusal without ran=no or retry delay: "
                f"{answer}"
            )


def check_connections(
    counts_by_leaf: dict[str, Any], limit: int
) -> Iterator[str]:
    """Yield each leaf whose connections exceeded its limit."""
    for leaf_id, row in counts_by_leaf.items():
        if row["peak"] > limit or row["refused"]:
            yield (
                f"{leaf_id}: peak of {row['peak']} connections, limit {limit}, "
                f"{row['refused']} refused"
            )
