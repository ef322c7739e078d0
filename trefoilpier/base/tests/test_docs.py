"""Compares the tables of the docs with the code."""

import pathlib
import re

from trefoilpier import base

_DOCS = pathlib.Path(__file__).resolve().parents[3] / "docs"


def test_every_result_code_is_in_the_docs():
    page = (_DOCS / "RESULT-CODES.md").read_text()
    listed = re.findall(r"^\| (TPR-\d{4}) \| (\w+) \|", page, re.MULTILINE)
    assert listed == [(code.value, code.name) for code in base.ResultCode]


def test_every_event_is_in_the_docs():
    page = (_DOCS / "EVENTS.md").read_text()
    listed = re.findall(r"^\| (TPE-\d{4}) \| (\w+) \|", page, re.MULTILINE)
    assert listed == [(event.number, event.level) for event in base.Event]


def test_numbers_are_unique():
    numbers = [event.number for event in base.Event]
    assert len(set(numbers)) == len(numbers)
