"""Short runs with random faults, and a planted fault that they must find."""

import pytest

from lab import fuzz
from standins import platform_model
from trefoilpier.fleet import vm_count
from trefoilpier.forward import engine, stopping, wait_queue
from trefoilpier.replicas import rate_limit, registration_grace, registry
from trefoilpier.tier import dispatcher, graceful_stop, store_items, store_sync


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_violate_nothing(seed):
    violations, faults = fuzz.run_seed(seed)
    assert len(faults) >= 8
    assert violations == []


def test_same_seed_has_the_same_faults():
    assert fuzz.run_seed(4) == fuzz.run_seed(4)


def test_ignored_rate_limits_are_found(monkeypatch):
    monkeypatch.setattr(rate_limit.RequestPacer, "wait_s", lambda *args: 0.0)
    violations = [fuzz.run_seed(seed)[0] for seed in range(1, 11)]
    assert any("at a limit of" in each for each in sum(violations, []))


def test_refusals_of_vms_cut_from_leaves_are_found(monkeypatch):
    monkeypatch.setattr(
        dispatcher.RequestDispatcher, "_needs_detour", lambda *args: False
    )
    violations = [fuzz.run_seed(seed)[0] for seed in range(1, 6)]
    assert any("cut from leaves" in each for each in sum(violations, []))


def test_lost_registrations_are_found(monkeypatch):
    monkeypatch.setattr(
        platform_model.PlatformModel, "renew_lease", lambda self, lease: True
    )
    violations = [fuzz.run_seed(seed)[0] for seed in (1, 2, 3)]
    assert any("not registered" in each for each in sum(violations, []))


def violations_of(*seeds):
    return sum((fuzz.run_seed(seed)[0] for seed in seeds), [])


def test_requests_cut_by_a_stop_are_found(monkeypatch):
    monkeypatch.setattr(stopping, "admit", lambda state: None)
    monkeypatch.setattr(
        graceful_stop.GracefulStop, "_answer_all", lambda self: None
    )
    assert any("into its stop" in each for each in violations_of(9, 12, 15))


def test_forgotten_evacuations_are_found(monkeypatch):
    apply_items = store_sync.StoreSync._apply_items

    def publish_first(self, *, from_peer, revision):
        self._publish(revision or 0)
        apply_items(self, from_peer=from_peer, revision=revision)

    monkeypatch.setattr(store_sync.StoreSync, "_apply_items", publish_first)
    assert any("forgotten" in each for each in violations_of(10, 12, 13))


def test_forgotten_leaves_are_found(monkeypatch):
    monkeypatch.setattr(
        store_items, "final_changes", lambda changes, known_by_key: changes
    )
    assert any("registered leaves" in each for each in violations_of(5, 7, 9))


def test_leaves_used_after_their_removal_are_found(monkeypatch):
    def extend_all(self):
        self._until = self._clock.monotonic() + registration_grace._GRACE_S
        self._until_by_id = dict.fromkeys(self._until_by_id, self._until)
        self._arm()

    def count_all(self, leaf_ids):
        if 4 * len(leaf_ids) >= len(self.pool_by_id) and len(leaf_ids) >= 4:
            self.handle_store_recovery()
        for leaf_id in leaf_ids:
            self.remove_leaf(leaf_id)

    monkeypatch.setattr(
        registration_grace.RegistrationGrace,
        "handle_store_recovery",
        extend_all,
    )
    monkeypatch.setattr(registry.LeafRegistry, "remove_leaves", count_all)
    assert any("got a request" in each for each in violations_of(8, 19, 20))


def test_refusals_while_all_gatherers_stop_are_found(monkeypatch):
    monkeypatch.setattr(
        engine.ForwardEngine,
        "outlasts",
        lambda self, request: self._admission.stop_times is None,
    )
    assert any("gatherers stop" in each for each in violations_of(1, 2, 3))


def test_exceptions_are_found(monkeypatch):
    # An earlier queue had a count of -1, and its admission divided by zero.
    monkeypatch.setattr(wait_queue.WaitQueue, "count", property(lambda _: -1))
    assert any("ZeroDivisionError" in each for each in violations_of(1))


def test_decreases_with_an_earlier_timer_are_found(monkeypatch):
    # The timer of a decrease once applied whatever number was known then.
    def update(self, count):
        def apply():
            self.value = self._latest
            self._on_change(self.value)

        self._latest = count
        if count > self.value:
            apply()
        elif count < self.value:
            self._clock.call_later(vm_count._DECREASE_DELAY_S, apply)

    monkeypatch.setattr(vm_count.VmCount, "update", update)
    assert any("divides by" in each for each in violations_of(1, 2, 3, 4, 5))
