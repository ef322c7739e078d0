"""Tests of the store client against a stand-in server in memory."""

import pytest
from twisted.internet import protocol

from standins import httpd, memory_net, platform_model
from standins import platform as platform_standin
from trefoilpier import base, platform

ADDRESS = ("10.0.0.9", 90)


class StoreHarness:
    def __init__(self):
        self.clock = base.VirtualClock()
        self.net = memory_net.MemoryReactor(clock=self.clock)
        self.model = platform_model.PlatformModel(clock=self.clock)
        server = platform_standin.PlatformServer(
            model=self.model, clock=self.clock
        )
        self.net.listen(*ADDRESS, httpd.HttpFactory(handle=server.handle))
        self.store = platform.PlatformStore(
            reactor=self.net,
            clock=self.clock,
            host=ADDRESS[0],
            port=ADDRESS[1],
        )

    def run(self, deferred, seconds=0.1):
        results = []
        deferred.addCallback(results.append)
        self.clock.advance(seconds)
        assert results, "no result yet"
        return results[0]


@pytest.fixture
def harness():
    return StoreHarness()


def test_keys_are_written_read_and_listed(harness):
    revision = harness.run(harness.store.write("a/1", b"\x00x", expect=0)).ok
    item = harness.run(harness.store.read("a/1")).ok
    assert (item.value, item.revision) == (b"\x00x", revision)
    assert harness.run(harness.store.read("a/2")).ok.revision == 0
    harness.run(harness.store.write("b/1", b"y", expect=None))
    listed = harness.run(harness.store.read_all("a/")).ok
    assert [entry.key for entry in listed.items] == ["a/1"]


def test_failed_precondition_is_a_conflict(harness):
    harness.run(harness.store.write("k", b"1", expect=0))
    failure = harness.run(harness.store.write("k", b"2", expect=0)).error
    assert failure.code is base.ResultCode.STORE_CONFLICT


def test_long_list_is_read_in_pages(harness):
    for index in range(1200):
        harness.model.put(f"p/{index:04}", "v", None, "")
    listed = harness.run(harness.store.read_all("p/"), 1.0).ok
    assert len(listed.items) == 1200
    assert harness.store.request_count == 3


def test_watch_reports_changes_and_removals(harness):
    after = harness.run(harness.store.read_all("")).ok.revision
    pending_watch = harness.store.watch("w/", after=after, wait_s=5.0)
    harness.clock.advance(1.0)
    harness.model.put("other", "v", None, "")
    harness.model.put("w/1", "v", None, "")
    changes_seen = harness.run(pending_watch).ok
    assert [change.key for change in changes_seen.changes] == ["w/1"]
    harness.model.delete("w/1")
    changes_seen = harness.run(
        harness.store.watch("w/", after=changes_seen.revision, wait_s=5.0)
    ).ok
    assert changes_seen.changes[0].item is None


def test_watch_reports_lost_history(harness):
    harness.model.put("a", "v", None, "")
    harness.model.put("a", "w", None, "")
    harness.model.compact_history()
    changes_seen = harness.run(harness.store.watch("", after=1, wait_s=5.0)).ok
    assert changes_seen.history_gone


def test_lease_lives_while_renewed_and_expires_with_its_keys(harness):
    lease = harness.run(harness.store.grant_lease(ttl_s=2.0)).ok
    harness.run(harness.store.write("k", b"v", expect=None, lease=lease))
    harness.clock.advance(1.5)
    assert harness.run(harness.store.keep_lease(lease)).ok is True
    harness.clock.advance(1.5)
    assert harness.run(harness.store.read("k")).ok.revision
    harness.clock.advance(3.0)
    assert harness.run(harness.store.keep_lease(lease)).ok is False
    assert harness.run(harness.store.read("k")).ok.revision == 0


def test_lost_response_to_write_is_distinct_from_outage(harness):
    harness.model.faults.lose_answers = 1
    failure = harness.run(harness.store.write("k", b"v", expect=0)).error
    assert failure.code is base.ResultCode.STORE_ANSWER_LOST
    assert harness.run(harness.store.read("k")).ok.revision
    harness.net.stop_listening(*ADDRESS)
    for transport in harness.net.transports:
        transport.abortConnection()
    harness.clock.advance(0.1)
    failure = harness.run(harness.store.write("k", b"v", expect=0)).error
    assert failure.code is base.ResultCode.STORE_UNAVAILABLE


def test_unresponsive_store_times_out(harness):
    silent_server = protocol.Factory.forProtocol(protocol.Protocol)
    harness.net.listen(*ADDRESS, silent_server)
    pending_read = harness.store.read_all("")
    assert harness.run(pending_read, 2.5).is_error()


def test_response_that_is_not_a_json_object_is_an_outage(harness):
    def handle(call):
        call.respond(b"[1]")

    harness.net.listen(*ADDRESS, httpd.HttpFactory(handle=handle))
    failure = harness.run(harness.store.read("k")).error
    assert failure.code is base.ResultCode.STORE_UNAVAILABLE
