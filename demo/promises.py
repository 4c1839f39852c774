"""Checks of the promises that the demo makes about the system."""

from collections.abc import Callable
from typing import Final

from demo.scenario import BAD_VERSION, DemoRun
from demo.traffic import STATUS_OK
from demo.timelines import convergence_s, read_events

CONVERGENCE_LIMIT_S: Final = 14.0
BAD_SHARE_LIMIT: Final = 0.1
FAULT_TO_NO_TRAFFIC_S: Final = 5.0
DRAIN_LIMIT_S: Final = 3.0

PromiseCheck = Callable[[DemoRun], str]
_checks_by_text: dict[str, PromiseCheck] = {}


def check_promises(run: DemoRun) -> dict[str, str]:
    """Return the reason why each promise failed, empty if it held."""
    return {text: check(run) for text, check in _checks_by_text.items()}


def promise(text: str) -> Callable[[PromiseCheck], PromiseCheck]:
    """Register the check of a promise under its text."""

    def decorator(check: PromiseCheck) -> PromiseCheck:
        _checks_by_text[text] = check
        return check

    return decorator


@promise('every caller got the answer to their own request')
def _check_own_answers(run: DemoRun) -> str:
    mismatched = run.caller.mismatched
    return (
        f'{mismatched} calls got the answer to another request'
        if mismatched
        else ''
    )


@promise('no call was lost but by the bad version or a killed server')
def _check_lost_calls(run: DemoRun) -> str:
    bad_version_failures = sum(
        1
        for _, version, status in run.caller.answered_calls
        if version == BAD_VERSION and status != STATUS_OK
    )
    unknown = run.caller.answers['unknown'] if run.servers_killed else 0
    lost = run.caller.lost - bad_version_failures - unknown
    if not lost:
        return ''
    answers = dict(run.caller.answers)
    return f'{lost} calls: {answers}'


@promise('only nodes that were killed left a caller without an answer')
def _check_all_answered(run: DemoRun) -> str:
    unanswered = {
        server.id: run.caller.unanswered_by_node[server.node_address]
        for server in run.servers
        if run.caller.unanswered_by_node[server.node_address]
        and server.id not in run.killed
    }
    return f'no answer from {unanswered}' if unanswered else ''


@promise('every prescription ran at most once')
def _check_at_most_once(run: DemoRun) -> str:
    repeated = [name for name, count in run.runs.items() if count > 1]
    return f'ran more than once: {repeated}' if repeated else ''


@promise('a call that was said not to have run did not run')
def _check_not_run(run: DemoRun) -> str:
    ran = sorted(run.caller.not_run_ids & run.runs.keys())
    return f'ran although reported as not run: {ran}' if ran else ''


@promise('the good version was in by the stated time')
def _check_good_in_time(run: DemoRun) -> str:
    move = run.good_move
    if move['state'] != 'done':
        return f'{move["state"]}: {move["reason"]}'
    late_s = move['decisions'][-1]['at_s'] - move['by_s']
    return f'{late_s:.1f} s late' if late_s > 0 else ''


@promise('the bad version was taken back')
def _check_bad_taken_back(run: DemoRun) -> str:
    move = run.bad_move
    state = move['state']
    return '' if state == 'taken_back' else f'{state}: {move["reason"]}'


@promise('the bad version got a small share, and none soon after its fault')
def _check_bad_share(run: DemoRun) -> str:
    started_s = run.bad_move['started_s']
    times = [
        at_s
        for at_s, version, _ in run.caller.answered_calls
        if version == BAD_VERSION
    ]
    since = [
        entry for entry in run.caller.answered_calls if entry[0] >= started_s
    ]
    if not times:
        return 'the bad version got no call'
    duration_s = max(times) - min(times)
    share = len(times) / len(since)
    if share > BAD_SHARE_LIMIT or duration_s > FAULT_TO_NO_TRAFFIC_S:
        return f'share {share:.3f}, for {duration_s:.1f} s'
    return ''


@promise('a target that was leaving got no new work after 3 s')
def _check_no_new_work(run: DemoRun) -> str:
    late = [
        at_s - run.drain_started_s
        for at_s, target in run.caller.served_calls
        if target == run.drained and at_s > run.drain_started_s + DRAIN_LIMIT_S
    ]
    return f'{len(late)} calls, the last after {max(late)} s' if late else ''


@promise('no proxy went back to an older configuration')
def _check_no_older_index(run: DemoRun) -> str:
    newest_by_key: dict[tuple[str, str], int] = {}
    for event in read_events(run.folder):
        if event['event'] != 'config_in_force':
            continue
        key = (event['process'], event['service'])
        index = event['index']
        newest_index = newest_by_key.get(key, 0)
        if index < newest_index:
            return f'{key}: {index} after {newest_index}'
        newest_by_key[key] = index
    return '' if newest_by_key else 'no configuration came into force'


@promise('every change was in force everywhere within 14 s')
def _check_convergence(run: DemoRun) -> str:
    times = convergence_s(run.folder)
    if not times:
        return 'no change was recorded'
    slowest = max(times)
    return f'{slowest:.1f} s' if slowest > CONVERGENCE_LIMIT_S else ''


@promise('every process ended cleanly when it was told to')
def _check_clean_exits(run: DemoRun) -> str:
    wrong = {name: code for name, code in run.exit_codes.items() if code}
    return f'exit codes {wrong}' if wrong else ''
