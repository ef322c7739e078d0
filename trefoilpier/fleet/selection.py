"""Selection of the gatherers among the VMs that can gather."""

from trefoilpier import base
from trefoilpier.fleet import directory


class GathererSelection:
    """The selected gatherers, kept until the registered VMs change.

    All VMs make the same choice from the same records, because candidates are
    ordered by a stable hash of their names.

    Attributes:
        generation: Counter of changes of the selected VMs.

    >>> vm_directory = directory.VmDirectory()
    >>> selection = GathererSelection(vm_directory=vm_directory)
    >>> selection.selected, selection.is_selected("vm-1")
    ([], True)
    """

    __slots__ = (
        "_count_max",
        "_directory",
        "_directory_generation",
        "_selected",
        "_selected_ids",
        "generation",
    )

    def __init__(self, *, vm_directory: directory.VmDirectory) -> None:
        """Select all registered VMs.

        Args:
            vm_directory: The VMs that can gather.
        """
        self._directory = vm_directory
        self._count_max = 0
        self._directory_generation = -1
        self._selected: list[directory.VmRecord] = []
        self._selected_ids: frozenset[str] = frozenset()
        self.generation = 0

    @property
    def count_max(self) -> int:
        """Maximum number of gatherers; 0 for no limit."""
        return self._count_max

    @count_max.setter
    def count_max(self, count_max: int) -> None:
        self._count_max = count_max
        self._directory_generation = -1

    @property
    def selected(self) -> list[directory.VmRecord]:
        """Records of the gatherers, in the order of the choice."""
        self._refresh()
        return self._selected

    def is_selected(self, vm_id: str) -> bool:
        """Return whether a VM gathers; one without a record does."""
        self._refresh()
        return (
            vm_id in self._selected_ids
            or vm_id not in self._directory.record_by_id
        )

    def _refresh(self) -> None:
        if self._directory_generation == self._directory.generation:
            return
        self._directory_generation = self._directory.generation
        ranked = sorted(
            self._directory.record_by_id.values(),
            key=lambda record: base.stable_hash(record.id),
        )
        selected = ranked[: self._count_max or len(ranked)]
        if selected != self._selected:
            self.generation += 1
            self._selected = selected
            self._selected_ids = frozenset(each.id for each in selected)
