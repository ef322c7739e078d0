"""The store's client against the stand-in, over a network in memory."""

import pytest
from twisted.internet import protocol

from standins import httpd, memory_net, platform_model
from standins import platform as platform_standin
from trefoilpier import base, platform

ADDRESS = ("10.0.0.9", 90)


class Scene:
    def __init__(self):
        self.clock = base.VirtualClock()
        self.net = memory_net.MemoryNet(clock=self.clock)
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
        assert results, "no answer"
        return results[0]


@pytest.fixture
def scene():
    return Scene()


def test_keys_are_written_read_and_listed(scene):
    revision = scene.run(scene.store.write("a/1", b"\x00x", expect=0)).ok
    item = scene.run(scene.store.read("a/1")).ok
    assert (item.value, item.revision) == (b"\x00x", revision)
    assert scene.run(scene.store.read("a/2")).ok.revision == 0
    scene.run(scene.store.write("b/1", b"y", expect=None))
    listed = scene.run(scene.store.read_all("a/")).ok
    assert [each.key for each in listed.items] == ["a/1"]


def test_a_condition_that_does_not_hold_is_a_conflict(scene):
    scene.run(scene.store.write("k", b"1", expect=0))
    failure = scene.run(scene.store.write("k", b"2", expect=0)).error
    assert failure.code is base.ResultCode.STORE_CONFLICT


def test_long_lists_come_in_pages(scene):
    for k in range(1200):
        scene.model.put(f"p/{k:04}", "v", None, "")
    listed = scene.run(scene.store.read_all("p/"), 1.0).ok
    assert len(listed.items) == 1200
    assert scene.store.calls == 3


def test_a_watch_brings_changes_and_removals(scene):
    after = scene.run(scene.store.read_all("")).ok.revision
    watching = scene.store.watch("w/", after=after, wait_s=5.0)
    scene.clock.advance(1.0)
    scene.model.put("other", "v", None, "")
    scene.model.put("w/1", "v", None, "")
    seen = scene.run(watching).ok
    assert [change.key for change in seen.changes] == ["w/1"]
    scene.model.delete("w/1")
    seen = scene.run(
        scene.store.watch("w/", after=seen.revision, wait_s=5.0)
    ).ok
    assert seen.changes[0].item is None


def test_forgotten_history_is_told(scene):
    scene.model.put("a", "v", None, "")
    scene.model.put("a", "w", None, "")
    scene.model.drop_history()
    seen = scene.run(scene.store.watch("", after=1, wait_s=5.0)).ok
    assert seen.history_gone


def test_leases_live_while_kept_and_take_their_keys_along(scene):
    lease = scene.run(scene.store.grant_lease(ttl_s=2.0)).ok
    scene.run(scene.store.write("k", b"v", expect=None, lease=lease))
    scene.clock.advance(1.5)
    assert scene.run(scene.store.keep_lease(lease)).ok is True
    scene.clock.advance(1.5)
    assert scene.run(scene.store.read("k")).ok.revision
    scene.clock.advance(3.0)
    assert scene.run(scene.store.keep_lease(lease)).ok is False
    assert scene.run(scene.store.read("k")).ok.revision == 0


def test_a_lost_answer_to_a_write_is_told_from_an_outage(scene):
    scene.model.faults.lose_answers = 1
    failure = scene.run(scene.store.write("k", b"v", expect=0)).error
    assert failure.code is base.ResultCode.STORE_ANSWER_LOST
    assert scene.run(scene.store.read("k")).ok.revision
    scene.net.unlisten(*ADDRESS)
    for transport in scene.net.transports:
        transport.abortConnection()
    scene.clock.advance(0.1)
    failure = scene.run(scene.store.write("k", b"v", expect=0)).error
    assert failure.code is base.ResultCode.STORE_UNAVAILABLE


def test_a_silent_store_is_given_up_in_time(scene):
    silent = protocol.Factory.forProtocol(protocol.Protocol)
    scene.net.listen(*ADDRESS, silent)
    reading = scene.store.read_all("")
    assert scene.run(reading, 2.5).is_error()


def test_an_answer_that_is_no_json_object_is_an_outage(scene):
    def handle(call):
        call.answer(b"[1]")

    scene.net.listen(*ADDRESS, httpd.HttpFactory(handle=handle))
    failure = scene.run(scene.store.read("k")).error
    assert failure.code is base.ResultCode.STORE_UNAVAILABLE
