"""One invalid configuration, sent as an operator sends it, ends every controller again and again."""

import asyncio
import json
import os
import random
import sys
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

# pylint: disable=wrong-import-position
from fleet import Fleet, Operator, Record, configuration, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEPTH = 1_000_000  # arrays that the text opens before it ends: 1 MB
SENT_FOR = 45.0  # seconds that the operator goes on sending it
RECOVER = 15.0  # `recover`
OFTEN = 3  # Fault: three times in the day
ROUTES = [("/catalogue/", "read_only", "starlook"), ("/bookings/", "writing", "ledgerhold")]


def cut_short(version, built_on):
    """A configuration whose text ends inside of a member that isn't known: it can't be read whole."""
    text = json.dumps(configuration(version, built_on, ROUTES, ["starlook", "ledgerhold"]))
    return (text[:-1] + ', "note": ' + "[" * DEPTH).encode()


async def read_back(fleet, operator, within):
    """The version that Settings.Read gives, asked of all controllers in turn; None: it doesn't come."""
    answer = await operator.order("GET", "/-/Settings.Read", within=within, final=(200,))
    return None if answer is None else json.loads(answer.body)["version"]


async def main():
    record = Record(HERE / "record.txt")
    fleet = Fleet(record, controllers=3, proxies=2)
    operator = Operator(fleet, random.Random())
    try:
        await fleet.start()
        for version in (1, 4):
            answer = await operator.replace(configuration(version, operator.version, ROUTES, ["starlook", "ledgerhold"]))
            if answer is None or answer.status != 200:
                record.say("couldn't run: a proper configuration was not acknowledged")
                return 2
        await asyncio.sleep(4)  # calm: `in_touch` has passed
        if TROUBLE:
            record.say(f"operator: sends an invalid configuration, version 6 on 4, cut short after {DEPTH} open arrays")
            answer = await operator.order("POST", "/-/Settings.Replace", cut_short(6, 4), SENT_FOR,
                                          what="Settings.Replace (invalid) version 6 on 4", drawn=True)
            record.say("operator: the invalid configuration got "
                       + ("no clear answer" if answer is None else f"{answer.status}") + "; it is not sent any more")
        before = [len(each.own_ends) for each in fleet.controllers]
        await asyncio.sleep(RECOVER)
        after = [len(each.own_ends) for each in fleet.controllers]
        version = await read_back(fleet, operator, 10.0)
        record.say(f"ends of controllers by themselves: {before} while it was sent, "
                   f"{[b - a for a, b in zip(before, after)]} in the {RECOVER:.0f} s after that")
        record.say(f"operator: acknowledged version 4, read back: {version}")
        often = sum(len(each.own_ends) >= OFTEN for each in fleet.controllers)
        fault = 2 * often >= len(fleet.controllers)
        lost = version is None or version < 4
        record.say(f"Fault: {often} of 3 controllers ended by themselves {OFTEN} times or more: "
                   + ("BROKEN" if fault else "held"))
        record.say("CONFIG: " + ("BROKEN: the acknowledged configuration does not come" if lost else "held"))
        print(f"Fault {'BROKEN' if fault else 'held'}, CONFIG {'BROKEN' if lost else 'held'}; own ends "
              f"{[len(each.own_ends) for each in fleet.controllers]}, read back {version}")
        return 1 if fault or lost else 0
    finally:
        await fleet.close()


run(main)
