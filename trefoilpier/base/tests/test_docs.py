"""Tests that the documentation lists all result codes and events.

The tables in the documentation would otherwise fall behind the code.
"""

import pathlib
import re

from trefoilpier import base

_DOCS = pathlib.Path(__file__).resolve().parents[3] / "docs"


def test_docs_list_every_result_code():
    document = (_DOCS / "RESULT-CODES.md").read_text()
    listed = re.findall(r"^\| (TPR-\d{4}) \| (\w+) \|", document, re.MULTILINE)
    assert listed == [(code.value, code.name) for code in base.ResultCode]


def test_docs_list_every_event():
    document = (_DOCS / "EVENTS.md").read_text()
    listed = re.findall(r"^\| (TPE-\d{4}) \| (\w+) \|", document, re.MULTILINE)
    assert listed == [(event.number, event.level) for event in base.Event]


def test_event_numbers_are_unique():
    numbers = [event.number for event in base.Event]
    assert len(set(numbers)) == len(numbers)
