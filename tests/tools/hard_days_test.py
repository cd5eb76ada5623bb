"""The days that tools/hard-days writes, without the bench: they parse, lie within the day and overlap as they should."""

import sys
import tomllib
import unittest
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

# pylint: disable=wrong-import-position
from hard_days.days import BACKGROUND_KIND, PLANNED_KINDS  # noqa: E402
from hard_days.draw import Draw  # noqa: E402
from hard_days.kinds import parse_kinds  # noqa: E402
from hard_days.play import Verdict  # noqa: E402
from hard_days.scenarios import FEWEST_KINDS, MOST_KINDS, MOST_REMOVED, SCENARIOS, write_day  # noqa: E402
from hard_days.site import Site  # noqa: E402
from hard_days.variants import VariantError, with_bound, with_larger_downloads  # noqa: E402

SITE = """
name = "test"
length_s = 25.0
zones = [{ name = "north" }, { name = "south" }]
services = [{ name = "reads" }]
[timing]
catch_up_s = 3.0
[tolerate]
machines = 1
[bounds]
touch_ms = 1500
ack_ms = 2500
config_ms = 1200
grace_s = 5.0
drain_ms = 900
"""
KINDS = """Fields: at, kind. zone: where.

core_cut: count machines are cut off; how: all (of the system), oldest (by disk), one_way
node_cut: machines are cut off; how: all
node_kill: machines are killed; how: power (dark)
node_freeze: machines stand still
disk_stall: disks answer nothing
replace_core: (how oldest: the oldest one) gone for good; how: planned (the new one first, then the end)
after_ack_wipe: a disk is lost; how oldest: the oldest
after_ack_kill: a kill (x s (2) later); how: kill, timed (later, or not)
zone_loss: a zone goes
herd_kill: many go; how: power; on core: all; how taken: right after
roll_term: each gets SIGTERM; how: remove (they leave)
replace_with_reuse: servers end (how: drain, they drain; dark, they fall silent); others follow
srv_grey: servers fail; how: errors shed, slow (x (8) times), + one_zone
reset_conns: resets
release: servers are replaced one after the other
scale_in: servers are emptied and go
garble: answers are spoilt; how: extra, early
answer_lost: answers go
config_change: how: route weights

these may come too:
config_race: pairs of changes
ack_lost: acknowledgements go
hup: machines get SIGHUP
srv_cut: servers are cut off; how: fronts, one_way
evacuate: a zone is emptied; cold unless how: warm
"""
SEEDS = range(1, 201)


class KindsTest(unittest.TestCase):
    """The bench's list."""

    def test_variants_are_read_without_their_explanations(self) -> None:
        kinds = parse_kinds(KINDS)
        self.assertEqual(kinds["core_cut"].variants, ("all", "oldest", "one_way"))
        self.assertEqual(kinds["replace_core"].variants, ("oldest", "planned"))
        self.assertEqual(kinds["after_ack_kill"].variants, ("kill", "timed"))
        self.assertEqual(kinds["herd_kill"].variants, ("taken", "power"))
        self.assertEqual(kinds["replace_with_reuse"].variants, ("drain", "dark"))
        self.assertEqual(kinds["srv_grey"].variants, ("errors", "shed", "slow", "one_zone"))
        self.assertEqual(kinds["config_change"].variants, ("route", "weights"))
        self.assertEqual(kinds["evacuate"].variants, ("warm",))
        self.assertIn("ack_lost", kinds)  # listed after "may come too"


class DaysTest(unittest.TestCase):
    """Every scenario over many seeds."""

    def setUp(self) -> None:
        self.site = Site.parse(SITE)
        self.kinds = parse_kinds(KINDS)

    def test_each_day_parses_lies_within_the_site_and_overlaps_two_to_four_kinds(self) -> None:
        for point in SCENARIOS:
            for seed in SEEDS:
                with self.subTest(point=point, seed=seed):
                    day = write_day(point, Draw(seed, self.site, self.kinds), seed)
                    table = tomllib.loads(day.to_toml())["day"][0]
                    entries = table["plan"] + table["faults"]
                    self.assertEqual(len(entries), len(day.entries))
                    for entry in entries:
                        self.assertIn(entry["kind"], self.kinds)
                        self.assertGreater(entry["at"], 0)
                        lasting = max(entry.get("for_s", 0), entry.get("gap_s", 0) * entry.get("count", 0))
                        self.assertLessEqual(entry["at"] + lasting, self.site.length)
                    self.assertTrue(all(entry["kind"] in PLANNED_KINDS for entry in table["plan"]))
                    self.assertFalse(any(entry["kind"] in PLANNED_KINDS for entry in table["faults"]))
                    self.assertGreaterEqual(len(day.kinds()), FEWEST_KINDS)
                    self.assertLessEqual(len(day.kinds()), MOST_KINDS)
                    self.assertIn(BACKGROUND_KIND, {entry["kind"] for entry in entries})

    def test_troubles_follow_each_other_closely(self) -> None:
        # Half of a scenario's days, at least, have a trouble that begins before another's aftermath is over.
        for point in SCENARIOS:
            close = sum(self.overlaps(point, seed) for seed in SEEDS)
            self.assertGreater(close, len(SEEDS) // 2, point)

    def test_no_day_removes_most_machines_for_good(self) -> None:
        # Nobody could serve such a day.
        for point in SCENARIOS:
            for seed in SEEDS:
                for entry in write_day(point, Draw(seed, self.site, self.kinds), seed).entries:
                    if entry.kind == "roll_term" and "remove" in str(entry.value("how")):
                        self.assertLessEqual(entry.value("share"), MOST_REMOVED, (point, seed))

    def overlaps(self, point: str, seed: int) -> bool:
        day = write_day(point, Draw(seed, self.site, self.kinds), seed)
        troubles = sorted((entry for entry in day.entries if entry.kind != BACKGROUND_KIND), key=lambda entry: entry.at)
        aftermath = 2 * self.site.catch_up
        return any(later.at <= earlier.end() + aftermath and later.kind != earlier.kind
                   for earlier, later in zip(troubles, troubles[1:]))

    def test_the_same_seed_writes_the_same_day(self) -> None:
        for point in SCENARIOS:
            first = write_day(point, Draw(5, self.site, self.kinds), 5).to_toml()
            self.assertEqual(first, write_day(point, Draw(5, self.site, self.kinds), 5).to_toml())
            self.assertNotEqual(first, write_day(point, Draw(6, self.site, self.kinds), 6).to_toml())


class VerdictTest(unittest.TestCase):
    """What the bench reports."""

    def test_a_clean_report_held(self) -> None:
        verdict = Verdict.parse('{"breaks": {}, "short": [], "fault": null, "exits_n": 0, "first": []}')
        self.assertFalse(verdict.broke())
        self.assertEqual(verdict.summary(), "held")

    def test_a_rule_an_acknowledgement_and_an_exit_each_break_a_day(self) -> None:
        for found in ('"breaks": {"CONFIG": 1}', '"short": ["no ack"]', '"fault": "gave up"', '"exits_n": 1'):
            rest = '"breaks": {}, "short": [], "fault": null, "exits_n": 0, "first": [], '
            self.assertTrue(Verdict.parse("{" + rest + found + "}").broke(), found)


class VariantsTest(unittest.TestCase):
    """Copies of a site for trials."""

    TEXT = """[bounds]
drain_ms = 900
[prices]
drain_ms = 7
classes = [
  { name = "reads", kind = "safe", resp_bytes = { mean = 10.0, max = 20.0 } },
  { name = "files", kind = "download", resp_bytes = { mean = 10.0, spread = 0.6, max = 20.0 } },
]
"""

    def test_a_bound_alone_is_changed(self) -> None:
        """Not a line of the same name elsewhere."""
        self.assertEqual(with_bound(self.TEXT, "drain_ms", "500"), self.TEXT.replace("= 900", "= 500"))
        with self.assertRaises(VariantError):
            with_bound(self.TEXT, "apply_ms", "500")

    def test_downloads_alone_grow(self) -> None:
        """Other answers stay as they are."""
        grown = with_larger_downloads(self.TEXT, 2.5)
        self.assertIn("mean = 25.0, spread = 0.6, max = 50.0", grown)
        self.assertIn("mean = 10.0, max = 20.0", grown)
        with self.assertRaises(VariantError):
            with_larger_downloads("", 2.5)


if __name__ == "__main__":
    unittest.main()
