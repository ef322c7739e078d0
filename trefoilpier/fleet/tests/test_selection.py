"""Tests of the selection of gatherers."""

from trefoilpier import fleet


def make_selection(count):
    directory = fleet.VmDirectory()
    for k in range(count):
        directory.put(
            fleet.VmRecord(
                id=f"vm-{k}",
                zone="z1",
                host=f"10.0.0.{k}",
                relay_port=1,
                state_port=2,
                started_ms=3,
            )
        )
    return directory, fleet.GathererSelection(vm_directory=directory)


def test_limit_selects_the_same_vms_everywhere():
    first, second = make_selection(8)[1], make_selection(8)[1]
    first.count_max = second.count_max = 3
    assert len(first.selected) == 3
    assert first.selected == second.selected


def test_next_candidate_takes_over_and_the_change_is_counted():
    directory, selection = make_selection(8)
    selection.count_max = 3
    before = selection.selected
    generation = selection.generation
    directory.remove_vm(before[0].id)
    assert len(selection.selected) == 3
    assert selection.selected[:2] == before[1:]
    assert selection.generation == generation + 1


def test_loss_of_a_vm_that_does_not_gather_changes_nothing():
    directory, selection = make_selection(8)
    selection.count_max = 3
    spare = next(
        vm_id
        for vm_id in directory.record_by_id
        if not selection.is_selected(vm_id)
    )
    generation = selection.generation
    directory.remove_vm(spare)
    assert len(selection.selected) == 3
    assert selection.generation == generation


def test_vm_without_a_record_gathers():
    _, selection = make_selection(8)
    selection.count_max = 3
    assert selection.is_selected("vm-99")
