"""Runs each kind of fault on its own, or paired with planned work, on a deployment.

Usage: python3 days/play.py FLEETBENCH SITE [--pairs] [--jobs N] > table.md

Each entry of TROUBLES is one day: the fault occurs twice, ten seconds apart, under the
steady traffic of the site. With --pairs each day also includes a planned operation. The
table lists the broken rules and the score ("worth") of each day.
"""

import argparse
import concurrent.futures
import os
import re
import subprocess
import tempfile

TROUBLES = [
    ("burst", 'x = 1.8, for_s = 3.0'),
    ("retry_abuse", 'share = 0.3, x = 3.0, for_s = 4.0'),
    ("give_up", 'share = 0.3, for_s = 4.0'),
    ("srv_crash", 'for_s = 4.0'),
    ("srv_crash", 'for_s = 4.0, how = "dark"'),
    ("srv_crash", 'how = "gone"'),
    ("srv_crash", 'for_s = 4.0, how = "domain"'),
    ("srv_grey", 'for_s = 5.0, how = "errors"'),
    ("srv_grey", 'for_s = 5.0, how = "shed"'),
    ("srv_grey", 'for_s = 5.0, how = "busy"'),
    ("srv_grey", 'for_s = 5.0, how = "hang"'),
    ("srv_grey", 'for_s = 5.0, how = "reset"'),
    ("srv_grey", 'for_s = 5.0, how = "mute"'),
    ("srv_grey", 'for_s = 5.0, how = "slow"'),
    ("release", 'share = 0.3, x = 1.0, gap_s = 1.0'),
    ("scale_out", 'share = 0.25, gap_s = 2.0'),
    ("scale_in", 'share = 0.15'),
    ("scale_in", 'share = 0.15, how = "spot", x = 2.0'),
    ("answer_lost", 'share = 0.5, x = 0.05, for_s = 5.0'),
    ("answer_lost", 'share = 0.5, x = 0.2, for_s = 4.0, how = "reset"'),
    ("garble", 'share = 0.5, x = 0.03, for_s = 5.0'),
    ("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "extra"'),
    ("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "extra late"'),
    ("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "unframed"'),
    ("garble", 'share = 0.5, x = 0.03, for_s = 5.0, how = "early"'),
    ("node_kill", 'share = 0.3, for_s = 2.0'),
    ("node_kill", 'on = "core", count = 1, for_s = 3.0, how = "leader"'),
    ("node_kill", 'on = "core", count = 1, for_s = 3.0, how = "seed power"'),
    ("node_kill", 'on = "core", count = 1, how = "leader race drain"'),
    ("node_freeze", 'share = 0.2, for_s = 3.5'),
    ("node_freeze", 'on = "core", count = 1, for_s = 4.0, how = "leader"'),
    ("node_freeze", 'on = "core", count = 1, for_s = 4.0, how = "giver"'),
    ("node_slow", 'share = 0.2, x = 5.0, for_s = 5.0'),
    ("node_slow", 'on = "core", count = 1, x = 5.0, for_s = 5.0, how = "leader"'),
    ("roll_term", 'share = 1.0, x = 1.0, gap_s = 1.3'),
    ("roll_term", 'share = 1.0, x = 1.0, gap_s = 1.3, how = "busy"'),
    ("roll_term", 'on = "core", share = 1.0, x = 1.0, gap_s = 5.0'),
    ("herd_kill", 'share = 0.6, for_s = 2.0'),
    ("herd_kill", 'on = "core", how = "off", for_s = 2.0'),
    ("replace_core", 'x = 2.0'),
    ("replace_core", 'x = 2.0, how = "planned"'),
    ("replace_core", 'x = 2.0, how = "oldest"'),
    ("seed_turnover", ''),
    ("after_ack_kill", 'for_s = 3.0'),
    ("after_ack_kill", 'for_s = 3.0, how = "timed"'),
    ("after_ack_wipe", 'for_s = 3.0'),
    ("after_ack_wipe", 'for_s = 3.0, how = "oldest"'),
    ("disk_full", 'count = 1, for_s = 4.0'),
    ("disk_slow", 'count = 1, x = 30.0, for_s = 4.0'),
    ("disk_stall", 'count = 1, for_s = 4.0'),
    ("clock_step", 'share = 0.4, x = 4000.0, for_s = 5.0, how = "ahead"'),
    ("clock_step", 'share = 0.4, x = 4000.0, for_s = 5.0, how = "back"'),
    ("hup", 'share = 0.6, gap_s = 2.0'),
    ("zone_cut", 'for_s = 5.0'),
    ("zone_cut", 'for_s = 5.0, how = "refuse"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "leader"'),
    ("core_cut", 'for_s = 5.0, how = "split"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "one_way"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "behind"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "lure"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "both"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "relieve"'),
    ("core_cut", 'count = 1, for_s = 5.0, how = "seeds"'),
    ("node_cut", 'share = 0.3, for_s = 5.0'),
    ("node_cut", 'share = 0.3, for_s = 5.0, how = "all"'),
    ("node_cut", 'share = 0.3, for_s = 5.0, how = "servers"'),
    ("lossy", 'x = 0.04, for_s = 5.0'),
    ("srv_slow", 'for_s = 5.0'),
    ("srv_cut", 'for_s = 5.0'),
    ("srv_cut", 'for_s = 5.0, how = "fronts"'),
    ("srv_cut", 'for_s = 5.0, how = "one_way"'),
    ("srv_cut", 'for_s = 5.0, how = "reborn"'),
    ("replace_with_reuse", ''),
    ("replace_with_reuse", 'how = "drain"'),
    ("replace_with_reuse", 'how = "dark"'),
    ("reset_conns", 'share = 0.5, x = 0.5'),
    ("ack_lost", 'x = 0.6, for_s = 6.0'),
    ("config_storm", 'for_s = 4.0, gap_s = 0.33'),
    ("config_race", 'count = 3, gap_s = 1.2'),
    ("bad_config", 'count = 3, gap_s = 1.0'),
    ("big_config", 'count = 350'),
    ("model_shift", 'count = 3, for_s = 5.0'),
    ("applied_late", 'x = 0.4, for_s = 6.0, how = "all"'),
]

PLANNED = [
    '{ at = 6.0, kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.3 }',
    '{ at = 6.0, kind = "config_race", count = 3, gap_s = 1.2 }',
    '{ at = 6.0, kind = "release", share = 0.2, x = 1.0, gap_s = 1.0 }',
    '{ at = 6.0, kind = "scale_in", share = 0.13 }',
]
PLANNED_KINDS = {"release", "scale_out", "scale_in", "roll_term", "seed_turnover", "hup", "config_change",
                 "config_storm", "config_race", "bad_config", "big_config", "model_shift"}
CLOSINGS = ["power_off_all", "kill_all", "wipe_after_ack"]


def day(name, kind, fields, number, pair):
    """Returns the TOML text of one day."""
    entries = ["{ at = %.1f, kind = \"%s\"%s }" % (at, kind, ", " + fields if fields else "") for at in (5.0, 15.0)]
    plan, faults = [], []
    (plan if kind in PLANNED_KINDS else faults).extend(entries)
    if pair:
        plan.append(PLANNED[number % len(PLANNED)])
    closing = ""
    if number % 3 == 0:
        closing = 'closing = { kind = "%s", down_s = 1.5 }\n' % CLOSINGS[number // 3 % len(CLOSINGS)]
    return 'name = "%s"\nslot = "trouble"\nseed = %d\nlength_s = 30.0\n%splan = [%s]\nfaults = [%s]\n' % (
        name, 1000 + number, closing, ", ".join(plan), ", ".join(faults))


def play(args, number, kind, fields):
    """Runs one day and returns its table row."""
    name = "alone-%d" % number if not args.pairs else "pair-%d" % number
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as f:
        f.write(day(name, kind, fields, number, args.pairs))
    out = subprocess.run([args.fleetbench, "run", args.site, f.name, "--why", "one kind of trouble: %s %s" % (kind, fields)],
                         capture_output=True, text=True, check=False).stdout
    os.unlink(f.name)
    broken = re.search(r"BROKEN: (.*?)(?: \(else|$)", out, re.M)
    first = re.search(r"^([A-Z]+ at .*)$", out, re.M)
    worth = re.search(r"^worth (\S+)", out, re.M)
    note = first.group(1) if first else ("" if worth else out.strip().splitlines()[-1][:100] if out.strip() else "no output")
    return "| %s | %s | %s | %s | %s |" % (kind, fields.replace("|", "/"), worth.group(1) if worth else "-",
                                           broken.group(1).strip() if broken else "", note)


def main():
    """Runs all days and prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("fleetbench")
    parser.add_argument("site")
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--jobs", type=int, default=6)
    args = parser.parse_args()
    print("| kind | how | worth | broken | first |\n| --- | --- | --- | --- | --- |")
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for row in pool.map(lambda t: play(args, t[0], *t[1]), enumerate(TROUBLES)):
            print(row, flush=True)


main()
