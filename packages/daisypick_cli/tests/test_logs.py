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


def _log_phase(at, process, phase):
    return json.dumps(
        {
            "at": at,
            "process": process,
            "say": "A roll-out has reached a phase.",
            "service": "desk",
            "target": "v2",
            "phase": phase,
        }
    )


def test_rollout_shows_steps_and_the_last_answers(tmp_path):
    row = {
        "route": "look",
        "version": "target",
        "answers": 40,
        "failures": 12,
        "first_ms": 85.0,
        "pace_ms": 0.0,
    }
    answers = {
        "at": 7.0,
        "say": "Answers of both versions.",
        "service": "desk",
        "target": "v2",
        "rows": [row],
    }
    rejected = {
        "at": 7.1,
        "say": "A version is rolled back.",
        "service": "desk",
        "target": "v2",
        "reason": "failures of route look: 12 of 40 answers, 1.2 expected",
    }
    first, second = tmp_path / "r-1.log", tmp_path / "r-2.log"
    first.write_text(
        "\n".join(
            [
                _log_phase(5.0, "r-1", "CANARY"),
                json.dumps(answers),
                json.dumps(rejected),
                _log_phase(7.2, "r-1", "ROLLED_BACK"),
                "not a log line of a router",
                '{"at": 7.3, "say": "A version is rolled back.", "serv',
            ]
        )
    )
    second.write_text(_log_phase(5.1, "r-2", "CANARY"))
    code, output, _ = _run(f"rollout {first} {second}")
    assert code == exit_codes.OK
    assert output.splitlines() == [
        "5.000  desk to v2: canary (2 routers)",
        "7.100  desk to v2: rejected: failures of route look: 12 of 40 answers,"
        " 1.2 expected (1 routers)",
        "7.200  desk to v2: rolled back (1 routers)",
        "desk to v2, look, target: 40 answers, 12 failures, first byte 85 ms,"
        " pause 0 ms",
    ]


def test_rollout_reports_a_missing_log(tmp_path):
    code, _, error = _run(f"rollout {tmp_path / 'none.log'}")
    assert code != exit_codes.OK
    assert "none.log" in error
