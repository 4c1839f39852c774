"""Promises of the system that the demo checks."""

from collections.abc import Callable
from typing import Final

from demo.scenario import BAD_VERSION, DemoRun
from demo.traffic import STATUS_OK
from demo.timelines import convergence_s, read_events

CONVERGENCE_TARGET_S: Final = 14.0
BAD_SHARE_LIMIT: Final = 0.1
FAULT_TO_NO_TRAFFIC_S: Final = 5.0
LEAVING_S: Final = 3.0

Promise = Callable[[DemoRun], str]
_promises_by_text: dict[str, Promise] = {}


def check_promises(run: DemoRun) -> dict[str, str]:
    """Return for each promise why it was broken, empty where it held."""
    return {text: check(run) for text, check in _promises_by_text.items()}


def promise(text: str) -> Callable[[Promise], Promise]:
    """Register the check of a promise."""

    def decorator(check: Promise) -> Promise:
        _promises_by_text[text] = check
        return check

    return decorator


@promise('every caller got the answer to their own request')
def _own_answers(run: DemoRun) -> str:
    crossed = run.caller.wrong
    return f'{crossed} answers crossed' if crossed else ''


@promise('no call was lost but by the bad version or a killed server')
def _lost_calls(run: DemoRun) -> str:
    harmed = sum(
        1
        for _, version, status in run.caller.versions
        if version == BAD_VERSION and status != STATUS_OK
    )
    unknown = run.caller.answers['unknown'] if run.servers_killed else 0
    lost = run.caller.lost - harmed - unknown
    if not lost:
        return ''
    answers = dict(run.caller.answers)
    return f'{lost} calls: {answers}'


@promise('only nodes that were killed left a caller without an answer')
def _all_answered(run: DemoRun) -> str:
    silent = {
        server.id: run.caller.unanswered[server.node_address]
        for server in run.servers
        if run.caller.unanswered[server.node_address]
        and server.id not in run.killed
    }
    return f'no answer from {silent}' if silent else ''


@promise('every prescription ran at most once')
def _at_most_once(run: DemoRun) -> str:
    twice = [name for name, count in run.runs.items() if count > 1]
    return f'ran more than once: {twice}' if twice else ''


@promise('a call that was said not to have run did not run')
def _not_run(run: DemoRun) -> str:
    ran = sorted(run.caller.not_run & run.runs.keys())
    return f'ran all the same: {ran}' if ran else ''


@promise('the good version was in by the stated time')
def _good_in_time(run: DemoRun) -> str:
    move = run.good_move
    if move['state'] != 'done':
        return f'{move["state"]}: {move["reason"]}'
    late_s = move['decisions'][-1]['at_s'] - move['by_s']
    return f'{late_s:.1f} s late' if late_s > 0 else ''


@promise('the bad version was taken back')
def _bad_taken_back(run: DemoRun) -> str:
    move = run.bad_move
    state = move['state']
    return '' if state == 'taken_back' else f'{state}: {move["reason"]}'


@promise('the bad version got a small share, and none soon after its fault')
def _bad_share(run: DemoRun) -> str:
    started_s = run.bad_move['started_s']
    times = [
        at_s
        for at_s, version, _ in run.caller.versions
        if version == BAD_VERSION
    ]
    since = [entry for entry in run.caller.versions if entry[0] >= started_s]
    if not times:
        return 'the bad version got no call at all'
    lasted_s = max(times) - min(times)
    share = len(times) / len(since)
    if share > BAD_SHARE_LIMIT or lasted_s > FAULT_TO_NO_TRAFFIC_S:
        return f'share {share:.3f}, for {lasted_s:.1f} s'
    return ''


@promise('a target that was leaving got no new work after 3 s')
def _no_new_work(run: DemoRun) -> str:
    late = [
        at_s - run.drain_told_s
        for at_s, target in run.caller.served
        if target == run.drained and at_s > run.drain_told_s + LEAVING_S
    ]
    return f'{len(late)} calls, the last after {max(late)} s' if late else ''


@promise('no proxy went back to an older configuration')
def _never_back(run: DemoRun) -> str:
    newest: dict[tuple[str, str], int] = {}
    for event in read_events(run.folder):
        if event['event'] != 'config_in_force':
            continue
        key = (event['process'], event['service'])
        index = event['index']
        held = newest.get(key, 0)
        if index < held:
            return f'{key}: {index} after {held}'
        newest[key] = index
    return '' if newest else 'no configuration came into force'


@promise('every change was in force everywhere within 14 s')
def _converged(run: DemoRun) -> str:
    times = convergence_s(run.folder)
    if not times:
        return 'no change was seen'
    slowest = max(times)
    return f'{slowest:.1f} s' if slowest > CONVERGENCE_TARGET_S else ''


@promise('every process ended cleanly when it was told to')
def _clean_exits(run: DemoRun) -> str:
    wrong = {name: code for name, code in run.exit_codes.items() if code}
    return f'exit codes {wrong}' if wrong else ''
