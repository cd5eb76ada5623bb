"""Generators of days: the operators' five points, planned work alone, servers that leave, full links, and a mix of any kinds.

Each draws its parameters from the day's seed. A day overlaps two to four kinds of trouble, with configuration changes
between them.
"""

from collections.abc import Callable

from .days import Closing, Day, Entry
from .draw import Draw

LONG_CUT = 20.0  # "cut off for some twenty seconds"
FEWEST_KINDS, MOST_KINDS = 2, 4
MOST_REMOVED = 0.4  # share of the machines of a class that may leave for good

Generator = Callable[[Draw], tuple[list[Entry], Closing | None]]


def _cut_off(draw: Draw, at: float, lasting: float) -> Entry:
    """One control machine cut off, frozen, slowed, with a leaping clock or a stalled disk."""
    kind = draw.pick(draw.listed("core_cut", "core_cut", "node_cut", "node_freeze", "node_slow", "clock_step", "disk_stall"))
    if kind == "core_cut":
        target = draw.pick(("", "leader", "turn", "reader"))
        reach = draw.variant(kind, "all", "near", "oldest", "one_way", "both", "lure", "seeds")
        manner = draw.pick(("", "", "reset", "refuse"))
        also = draw.pick(("", "meet", "race", "drain", "race drain"))
        return draw.entry(at, kind, lasting, count=1, how=" ".join(f"{target} {reach} {manner} {also}".split()))
    if kind == "node_cut":
        return draw.entry(at, kind, lasting, share=round(draw.between(0.1, 0.3), 2), how=draw.variant(kind, "all", "servers"))
    if kind == "clock_step":
        return draw.entry(at, kind, lasting, share=round(draw.between(0.2, 1.0), 2), x=draw.pick((2000, 20000, 3600000)),
                          how=draw.variant(kind, "back", "ahead"))
    if kind == "disk_stall":
        return draw.entry(at, kind, lasting, count=1, how=draw.pick(("", "leader")))
    strength = round(draw.between(3, 12), 1) if kind == "node_slow" else None
    return draw.entry(at, kind, lasting, on="core", count=1, x=strength, how=draw.pick(("", "leader", "leader race")))


def _evacuation(draw: Draw, at: float) -> Entry:
    return draw.entry(at, "evacuate", draw.between(2.0, 9.0), zone=draw.pick(draw.site.zones), how=draw.pick(("", "warm")))


def _races(draw: Draw, at: float) -> Entry:
    gap = round(draw.between(0.3, 1.5), 2)
    at = min(draw.clamp(at), draw.last - gap)
    room = int((draw.last - at) / gap)
    return draw.entry(at, "config_race", count=max(1, min(draw.random.randint(2, 10), room)), gap_s=gap)


def _lost_acknowledgements(draw: Draw, at: float, lasting: float) -> Entry:
    return draw.entry(at, "ack_lost", lasting, x=round(draw.between(0.4, 0.95), 2))


def _kill_after_acknowledgement(draw: Draw, at: float) -> Entry:
    how = draw.variant("after_ack_kill", "kill", "timed", "taken")
    return draw.entry(at, "after_ack_kill", draw.between(0.5, draw.site.catch_up), how=how)


def _leader_change(draw: Draw, at: float) -> Entry:
    """The leader is killed, stopped in order, cut off or frozen for a short time."""
    kind = draw.pick(draw.listed("node_kill", "roll_term", "core_cut", "node_freeze"))
    if kind == "roll_term":
        return draw.entry(at, kind, on="core", share=1.0, x=1.0, gap_s=round(draw.between(0.3, draw.site.catch_up), 2))
    how = draw.pick(("leader", "leader race", "leader meet"))
    if kind == "node_kill" and draw.random.random() < 0.5:
        how += " power"
    on = "core" if kind in ("node_kill", "node_freeze") else None
    return draw.entry(at, kind, draw.between(0.5, 5.0), on=on, count=1, how=how)


def cut_off(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Point 1: a control machine is cut off for some twenty seconds while orders go on."""
    start = draw.between(2.0, 6.0)
    cut = _cut_off(draw, start, draw.between(0.85, 1.1) * LONG_CUT)
    end = cut.end()
    entries = [cut, *draw.changes(start - 1, draw.last, draw.between(0.8, 3.0))]
    for kind in draw.some(draw.listed("config_race", "evacuate", "ack_lost", "after_ack_kill", "hup"), 1, 3):
        moment = draw.soon_after(draw.pick((start, start + draw.site.in_touch, end)))
        if kind == "config_race":
            entries.append(_races(draw, moment))
        elif kind == "evacuate":
            entries.append(_evacuation(draw, moment))
        elif kind == "ack_lost":
            entries.append(_lost_acknowledgements(draw, moment, draw.between(3, LONG_CUT)))
        elif kind == "after_ack_kill":
            entries.append(_kill_after_acknowledgement(draw, moment))
        else:
            entries.append(draw.entry(moment, kind, share=round(draw.between(0.3, 1.0), 2), gap_s=1.0))
    return entries, draw.closing(0.4)


def one_number(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Point 2: races for one version, lost acknowledgements, and kills at the moment of the acknowledgement."""
    start = draw.between(1.5, 5.0)
    entries = [_races(draw, start), _lost_acknowledgements(draw, start, draw.between(8, draw.last - start))]
    at = start
    for _ in range(draw.random.randint(2, 4)):
        at = draw.soon_after(at + draw.site.catch_up)
        entries.append(_kill_after_acknowledgement(draw, at))
    if draw.random.random() < 0.7:
        entries.append(_leader_change(draw, draw.soon_after(start + draw.between(2, 16))))
    if draw.random.random() < 0.6:
        entries.append(_races(draw, draw.soon_after(draw.between(10, 20))))
    return [*entries, *draw.changes(start, draw.last, draw.between(0.5, 2.5))], draw.closing()


def _replacement(draw: Draw, at: float, how: str | None = None) -> Entry:
    if how is None:
        how = draw.pick((draw.variant("replace_core", "planned", "oldest"), "leader", ""))
    return draw.entry(at, "replace_core", x=round(draw.between(0.5, 2.5), 2), how=how)


def _replaced_then_wiped(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """A replacement, a wiped disk within some seconds, and a wipe at the end."""
    start = draw.between(3.5, 4.5)
    wipe = draw.entry(start + draw.between(7.0, 9.0), "after_ack_wipe", 3.0)
    entries = [_replacement(draw, start, ""), wipe, *draw.changes(2.0, draw.last, 4.0)]
    return entries, Closing("wipe_after_ack", round(draw.between(0.8, 1.4), 2), "aimed")


def _replaced_three_times(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Three replacements with configuration changes between them."""
    entries = [_replacement(draw, draw.between(at - 0.3, at + 0.3), "") for at in (3.0, 10.5, 20.0)]
    wipe = draw.entry(draw.soon_after(20.0 + draw.site.catch_up), "after_ack_wipe", 2.0)
    return [*entries, wipe, *draw.changes(2.0, draw.last, 3.0)], draw.closing(0.5)


def _replaced_and_dark(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """A planned replacement, a dark zone, another replacement, and the whole core without power."""
    start = draw.between(2.0, 4.0)
    step = draw.site.catch_up + draw.between(0.5, 3.0)
    entries = [
        _replacement(draw, start, "planned"),
        draw.entry(start + step, "zone_loss", draw.between(2.0, 5.0), zone=draw.pick(draw.site.zones)),
        _replacement(draw, start + 2 * step, ""),
        draw.entry(start + 3 * step, "herd_kill", draw.between(1.0, 2.5), on="core", how="power"),
    ]
    return [*entries, *draw.changes(2.0, draw.last, 3.5)], Closing("wipe_after_ack", 1.0, "aimed")


def _rolling_stop(draw: Draw, at: float) -> Entry:
    """Members stopped in turn; those that leave for good are a minority."""
    share, gap = draw.between(0.2, 1.0), draw.between(0.5, draw.site.catch_up)
    how = draw.variant("roll_term", "remove")
    if how == "remove":
        share *= MOST_REMOVED
    return draw.entry(at, "roll_term", on="core", share=round(share, 2), x=1.0, gap_s=round(gap, 2), how=how)


def _second_losses(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Losses and repairs of any kind, each soon after the one before."""
    makers: dict[str, Callable[[float], Entry]] = {
        "replace_core": lambda at: _replacement(draw, at),
        "after_ack_wipe": lambda at: draw.entry(at, "after_ack_wipe", draw.between(0.5, 4.0),
                                                how=draw.variant("after_ack_wipe", "oldest")),
        "zone_loss": lambda at: draw.entry(at, "zone_loss", draw.between(1.0, 5.0), zone=draw.pick(draw.site.zones),
                                           how=draw.pick(("", "race drain hard", "meet"))),
        "herd_kill": lambda at: draw.entry(at, "herd_kill", draw.between(0.5, 3.0), on="core",
                                           how=draw.pick(("power", "", "taken"))),
        "roll_term": lambda at: _rolling_stop(draw, at),
        "seed_turnover": lambda at: draw.entry(at, "seed_turnover"),
        "node_kill": lambda at: draw.entry(at, "node_kill", draw.between(0.5, 4.0), on="core", count=1,
                                           how=draw.pick(("leader power", "leader race power", "power"))),
    }
    chosen = draw.some(draw.listed(*makers), FEWEST_KINDS, MOST_KINDS)
    entries: list[Entry] = []
    at = draw.between(2.0, 5.0)
    for _ in range(draw.random.randint(len(chosen), len(chosen) + 2)):
        kind = chosen[len(entries) % len(chosen)]
        entries.append(makers[kind](at))
        at = draw.soon_after(entries[-1].end() + draw.pick((0.0, draw.site.catch_up)))
    return [*entries, *draw.changes(1.5, draw.last, draw.between(1.0, 4.0))], draw.closing(0.8)


def second_loss(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Point 3: a second loss right after a repair or a replacement."""
    scenario = draw.pick((_replaced_then_wiped, _replaced_three_times, _replaced_and_dark, *[_second_losses] * 3))
    return scenario(draw)


def hundreds_of_changes(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Point 4: hundreds of changes while a member is without power, wiped, or has an ailing disk."""
    start = draw.between(2.0, 5.0)
    gap = draw.pick((0.05, 0.05, 0.08, 0.1, 0.15))
    end = start + gap * draw.random.randint(100, 300)
    entries = draw.changes(start, end, gap)
    down = draw.entry(start + draw.between(0.5, 4.0), "node_kill", draw.between(2.0, 7.0), on="core", count=1,
                      how=draw.pick(("power", "leader power", "power meet")))
    entries.append(down)
    for kind in draw.some(draw.listed("disk_slow", "disk_stall", "disk_full", "after_ack_wipe", "big_config", "replace_core"), 1, 3):
        moment = draw.soon_after(draw.pick((start, down.end(), end)))
        if kind == "big_config":
            entries.append(draw.entry(moment, kind, count=draw.random.randint(50, 350)))
        elif kind == "replace_core":
            entries.append(_replacement(draw, moment))
        elif kind == "after_ack_wipe":
            entries.append(draw.entry(moment, kind, draw.between(0.5, 3.0)))
        else:
            strength = round(draw.between(10, 60), 1) if kind == "disk_slow" else None
            entries.append(draw.entry(moment, kind, draw.between(2.0, 6.0), count=1, x=strength, how=draw.pick(("", "leader"))))
    return entries, draw.closing(0.5)


def _wrong_answers(draw: Draw, kind: str, at: float) -> Entry:
    """A trouble on the connections to servers or of the servers themselves."""
    lasting = draw.between(4.0, 12.0)
    share = round(draw.between(0.2, 0.8), 2)
    if kind == "garble":
        how = draw.variant(kind, "extra", "unframed", "early")
        return draw.entry(at, kind, lasting, share=share, x=round(draw.between(0.02, 0.1), 3), how=how)
    if kind == "answer_lost":
        return draw.entry(at, kind, lasting, share=share, x=round(draw.between(0.02, 0.1), 3), how=draw.pick(("", "reset")))
    if kind == "reset_conns":
        return draw.entry(at, kind, share=share, x=round(draw.between(0.3, 0.9), 2))
    if kind == "idle_race":
        return draw.entry(at, kind, lasting, share=share, x=draw.pick((50, 150, 300)))
    if kind == "srv_crash":
        return draw.entry(at, kind, lasting, share=round(share / 3, 2), how=draw.variant(kind, "dark", "gone"))
    if kind == "replace_with_reuse":
        return draw.entry(at, kind, share=round(share / 3, 2), how=draw.variant(kind, "drain", "dark"))
    if kind == "node_freeze":
        return draw.entry(at, kind, draw.between(0.3, 6.0), on=draw.pick(("front", "core")), share=round(share / 3, 2))
    return draw.entry(at, kind, share=share, x=1.0, gap_s=round(draw.between(0.3, 1.5), 2))


def wrong_answers(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Point 5: silences, resets and extra answers on connections, while addresses are handed on."""
    kinds = draw.listed("reset_conns", "answer_lost", "garble", "replace_with_reuse", "srv_crash", "idle_race", "node_freeze",
                        "release")
    chosen = draw.some(kinds, FEWEST_KINDS, MOST_KINDS)
    start = draw.between(2.0, 10.0)
    entries = [_wrong_answers(draw, kind, start + draw.between(0.0, 4.0)) for kind in chosen]
    entries += [_wrong_answers(draw, kind, draw.soon_after(start + 8.0)) for kind in chosen]
    return [*entries, *draw.changes(2.0, draw.last, draw.between(2.0, 6.0))], draw.closing(0.3)


def planned_work(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Planned work alone: two rolling stops of all edge proxies that overlap, reloads, releases, many changes."""
    start = draw.between(2.0, 4.0)
    gap = draw.pick((0.08, 0.1, 0.12))
    entries = draw.changes(start, start + gap * draw.random.randint(150, 250), gap)
    for first in (start, start + draw.between(0.5, draw.site.grace)):
        entries.append(draw.entry(first, "roll_term", share=1.0, x=float(draw.random.randint(2, 6)),
                                  gap_s=round(draw.between(0.4, 1.2), 2), how=draw.pick(("busy", ""))))
    for kind in draw.some(draw.listed("hup", "release", "scale_in", "seed_turnover"), 1, 3):
        moment = draw.between(start, draw.last - draw.site.grace)
        if kind == "hup":
            entries.append(draw.entry(moment, kind, share=round(draw.between(0.3, 1.0), 2), gap_s=1.0))
        elif kind == "seed_turnover":
            entries.append(draw.entry(moment, kind))
        else:
            entries.append(_departures(draw, moment, kind))
    return entries, None


def _departures(draw: Draw, at: float, kind: str) -> Entry:
    """Servers that leave in order, one after another."""
    share = round(draw.between(0.1, 0.4), 2)
    if kind == "release":
        return draw.entry(at, kind, share=share, x=float(draw.random.randint(1, 6)), gap_s=round(draw.between(0.4, 1.2), 2))
    how = "drain" if kind == "replace_with_reuse" else ""
    return draw.entry(at, kind, share=share, how=how)


def _control_trouble(draw: Draw, at: float, kind: str) -> Entry:
    """A trouble of the controllers, or of the servers' way to them."""
    if kind == "core_cut":
        reach = draw.variant(kind, "all", "near", "one_way", "split", "lure", "both", "behind")
        return draw.entry(at, kind, draw.between(1.0, 6.0), count=1, how=f"{draw.pick(('', 'giver', 'leader'))} {reach}".strip())
    if kind == "srv_cut":
        how = draw.variant(kind, "fronts", "some", "one_way", "reset")
        return draw.entry(at, kind, draw.between(2.0, 8.0), share=round(draw.between(0.1, 0.4), 2), how=how)
    if kind == "herd_kill":
        return draw.entry(at, kind, draw.between(0.5, 2.0), on="core", how=draw.pick(("", "power", "race drain")))
    if kind == "node_kill":
        how = draw.pick(("giver", "giver power", "leader race drain", "meet drain"))
        return draw.entry(at, kind, draw.between(0.5, 4.0), on="core", count=1, how=how)
    if kind == "node_freeze":
        return draw.entry(at, kind, draw.between(0.5, 4.0), on="core", count=1, how=draw.pick(("giver", "leader", "")))
    if kind == "reset_conns":
        return draw.entry(at, kind, share=round(draw.between(0.3, 0.9), 2), x=round(draw.between(0.3, 0.9), 2))
    if kind == "roll_term":
        return draw.entry(at, kind, on="core", share=1.0, x=1.0, gap_s=round(draw.between(0.5, draw.site.catch_up), 2))
    return draw.entry(at, kind, draw.between(0.5, 4.0), zone=draw.pick(draw.site.zones))


def departures(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Servers leave in order while controllers are killed, cut off, frozen or stopped in turn."""
    start = draw.between(2.0, 5.0)
    leaving = draw.some(draw.listed("release", "scale_in", "replace_with_reuse"), 1, 2)
    control = draw.some(draw.listed("core_cut", "srv_cut", "herd_kill", "node_kill", "node_freeze", "reset_conns",
                                    "roll_term", "zone_loss"), 1, 2)
    entries = draw.changes(1.5, draw.last, draw.between(1.0, 4.0))
    at = start
    while at < draw.last - draw.site.catch_up:
        trouble = _control_trouble(draw, at, draw.pick(control))
        entries.append(trouble)
        for kind in leaving:
            moment = draw.pick((trouble.at - draw.site.drain, trouble.at - 0.2, trouble.at + 0.5, trouble.end()))
            entries.append(_departures(draw, moment, kind))
        at = trouble.end() + draw.between(0.5, draw.site.in_touch + draw.site.catch_up)
    return entries, draw.closing(0.2)


def full_links(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Servers leave in order all day, while some are slow and clients give up: requests wait, and are abandoned.

    Meant for a copy of the site with larger downloads, which fill the edge machines' links (--downloads).
    """
    entries = draw.changes(1.5, draw.last, draw.between(2.0, 5.0))
    at = draw.between(1.5, 3.0)
    while at < draw.last - draw.site.catch_up:
        kind = draw.pick(draw.listed("release", "scale_in"))
        entries.append(_departures(draw, at, kind))
        at += draw.between(3.0, 8.0)
    for kind in draw.some(draw.listed("give_up", "srv_slow", "srv_grey"), 1, 3):
        share = round(draw.between(0.1, 0.4), 2)
        strength = round(draw.between(2, 4), 1) if kind == "srv_slow" else None
        how = "slow" if kind == "srv_grey" else ""
        entries.append(draw.entry(draw.between(1.0, 6.0), kind, draw.between(5, draw.last), share=share, x=strength, how=how))
    return entries, draw.closing(0.1)


# Kinds that strike machines and take `on`; without it the bench strikes edge machines.
_ON_MACHINES = frozenset("herd_kill node_kill node_freeze node_slow roll_term hup".split())


def mixed(draw: Draw) -> tuple[list[Entry], Closing | None]:
    """Any kinds that the contracts list, each soon after another; fields that aren't known are the bench's defaults."""
    chosen = draw.some([kind for kind in draw.kinds if kind != "config_change"], FEWEST_KINDS, MOST_KINDS)
    entries: list[Entry] = []
    at = draw.between(1.5, 8.0)
    for kind in chosen * draw.random.randint(1, 2):
        how = draw.variant(kind, *draw.kinds[kind].variants)
        on = draw.pick(("core", "")) if kind in _ON_MACHINES else None
        share = MOST_REMOVED if how == "remove" else None  # the bench's default is all of them
        entries.append(draw.entry(at, kind, draw.between(0.5, 8.0), on=on, share=share, how=how))
        at = draw.soon_after(draw.pick((at, entries[-1].end())))
    return [*entries, *draw.changes(1.5, draw.last, draw.between(1.0, 5.0))], draw.closing()


SCENARIOS: dict[str, Generator] = {
    "1": cut_off,
    "2": one_number,
    "3": second_loss,
    "4": hundreds_of_changes,
    "5": wrong_answers,
    "planned": planned_work,
    "departures": departures,
    "full_links": full_links,
    "mix": mixed,
}


def write_day(point: str, draw: Draw, seed: int) -> Day:
    """The day of a scenario; `draw` has the day's seed."""
    entries, closing = SCENARIOS[point](draw)
    return Day(f"hard-{point}-{seed}", seed, tuple(entries), closing)
