"""Tests of ``daisypick fairness``."""

import json

from cleo.testers import application_tester

from daisypick_cli import exit_codes
from daisypick_cli import main


def _run(command):
    tester = application_tester.ApplicationTester(main.make_application())
    code = tester.execute(command)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def _write_log(path, organisations_by_second):
    lines = [
        "  1.0 r-1 "
        + json.dumps(
            {
                "at": second + 0.5,
                "part": "shares",
                "say": "Work by organisation.",
                "organisations": organisations,
            }
        )
        for second, organisations in organisations_by_second.items()
    ]
    lines.append('  7.0 r-1 {"at": 7.5, "say": "Work by organisation.", "or')
    lines.append("not a log line of a router")
    path.write_text("\n".join(lines))


def test_least_served_organisation_is_found_over_all_routers(tmp_path):
    farm = {"organisation": "farm", "asked": 100.0, "begun": 10.0}
    best = {"organisation": "best", "asked": 90.0, "begun": 90.0}
    first, second = tmp_path / "r-1.log", tmp_path / "r-2.log"
    _write_log(first, {n: [{**farm, "refused": 1}, best] for n in range(6)})
    _write_log(second, {n: [farm] for n in range(6)})
    code, output, _ = _run(f"fairness {first} {second} --json")
    assert code == exit_codes.OK
    (served,) = json.loads(output)
    assert (served["organisation"], served["asked"]) == ("farm", 1200.0)
    assert (served["got"], served["margin"]) == (120.0, 0.444)


def test_log_without_matching_lines_is_no_error(tmp_path):
    log = tmp_path / "r-1.log"
    log.write_text("nothing\n")
    code, output, _ = _run(f"fairness {log}")
    assert code == exit_codes.OK
    assert "No organisation was starved" in output


def test_missing_log_is_reported(tmp_path):
    code, _, error = _run(f"fairness {tmp_path / 'none.log'}")
    assert code != exit_codes.OK
    assert "none.log" in error
