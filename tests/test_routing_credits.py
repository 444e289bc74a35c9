"""Tests of the ledgers of credits."""

import random
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from endivesill.routing.credits import LOAN_LIFE_S, TAKEOVER_S, Ledger, Use
from tests.routing_fakes import make_target

MAXIMUM_SLOTS = 16
COLD_SLOTS = 2


def make_ledger(now_s=0.0, warm=True):
    ledger = Ledger(make_target(), 71.0, 880.0, now_s)
    if warm:
        ledger.assume_warm()
    return ledger


class LedgerTest(unittest.TestCase):
    def test_cold_target_is_lent_its_cold_allowance_only(self):
        ledger = make_ledger(warm=False)
        now_s = TAKEOVER_S + 1
        use = Use(ahead_slots=9, queued=9)
        loans = [ledger.ask(f"v{n}", use, now_s) for n in range(5)]
        self.assertEqual(COLD_SLOTS, sum(loan.slots for loan in loans))

    def test_new_home_lends_what_runs_and_the_cold_allowance(self):
        ledger = make_ledger(warm=False)
        first = ledger.ask("a", Use(slots=5, ahead_slots=9, queued=1), 0.0)
        second = ledger.ask("b", Use(slots=3, ahead_slots=9, queued=1), 0.1)
        self.assertEqual(5 + 3 + COLD_SLOTS, first.slots + second.slots)

    def test_new_home_does_not_grow_with_each_renewal(self):
        ledger = make_ledger(warm=False)
        loan = ledger.ask("a", Use(slots=5, ahead_slots=9, queued=1), 0.0)
        for step in range(1, 4):
            use = Use(slots=loan.slots, ahead_slots=9, queued=1, serial=loan.serial)
            loan = ledger.ask("a", use, float(step))
        self.assertEqual(5 + COLD_SLOTS, loan.slots)

    def test_new_home_takes_on_the_warmth_that_it_has_seen(self):
        ledger = make_ledger(warm=False)
        ledger.ask("a", Use(slots=7), 0.0)
        loan = ledger.ask("a", Use(slots=7, ahead_slots=9, queued=1), TAKEOVER_S + 1)
        self.assertEqual(7, loan.slots)

    def test_smaller_loan_counts_once_it_is_confirmed(self):
        ledger = make_ledger()
        first = ledger.ask("a", Use(ahead_slots=14, queued=1), 0.0)
        self.assertEqual(14, first.slots)
        self.assertEqual(0, ledger.ask("b", Use(ahead_slots=4, queued=1), 0.1).slots)
        second = ledger.ask("a", Use(ahead_slots=2, queued=1, serial=first.serial), 0.2)
        self.assertEqual(0, ledger.ask("b", Use(ahead_slots=4, queued=1), 0.3).slots)
        ledger.ask("a", Use(ahead_slots=2, queued=1, serial=second.serial), 0.4)
        self.assertEqual(4, ledger.ask("b", Use(ahead_slots=4, queued=1), 0.5).slots)

    def test_lost_borrowers_work_counts_until_the_report_shows_its_end(self):
        ledger = make_ledger()
        loan = ledger.ask("a", Use(ahead_slots=14, queued=1), 0.0)
        ledger.ask("a", Use(slots=14, serial=loan.serial), 0.1)
        ledger.observe_load("boot", 14, 60_000, 0, LOAN_LIFE_S + 1)
        self.assertEqual(
            0, ledger.ask("b", Use(ahead_slots=4, queued=1), LOAN_LIFE_S + 2).slots
        )
        ledger.observe_load("boot", 0, 60_000, 0, LOAN_LIFE_S + 8)
        self.assertEqual(
            4, ledger.ask("b", Use(ahead_slots=4, queued=1), LOAN_LIFE_S + 9).slots
        )

    def test_new_boot_falls_back_to_the_cold_allowance(self):
        ledger = make_ledger()
        ledger.observe_load("boot-1", 0, 60_000, 0, 1.0)
        self.assertTrue(ledger.observe_load("boot-2", 0, 60_000, 0, 2.0))
        self.assertEqual(COLD_SLOTS, ledger.allowance_slots())

    def test_allowance_doubles_on_answers_and_not_on_time(self):
        ledger = make_ledger(warm=False)
        now_s = TAKEOVER_S + 1
        ledger.ask("a", Use(), now_s)
        ledger.ask("a", Use(), now_s + 500)
        self.assertEqual(2, ledger.allowance_slots())
        ledger.ask("a", Use(answers=2, first_token_ms=100.0), now_s + 501)
        self.assertEqual(4, ledger.allowance_slots())
        ledger.ask("a", Use(answers=9, first_token_ms=9000.0), now_s + 502)
        self.assertEqual(4, ledger.allowance_slots())

    def test_silent_target_is_lent_nothing(self):
        ledger = make_ledger()
        ledger.silent()
        self.assertEqual(0, ledger.ask("a", Use(ahead_slots=4, queued=1), 1.0).slots)

    def test_work_that_no_borrower_owns_up_to_is_not_lent_again(self):
        ledger = make_ledger()
        for second in range(8):
            ledger.observe_load("boot", 10, 60_000, 0, float(second))
        self.assertEqual(4, ledger.ask("a", Use(ahead_slots=14, queued=1), 8.0).slots)

    def test_fewer_slots_than_entries_go_to_those_that_queue(self):
        ledger = make_ledger(warm=False)
        names = [f"v{n}" for n in range(7)]
        now_s = TAKEOVER_S + 1
        idle = [ledger.ask(name, Use(ahead_slots=2), now_s) for name in names]
        self.assertLessEqual(sum(loan.slots for loan in idle), COLD_SLOTS)
        held = {name: loan.serial for name, loan in zip(names, idle, strict=True)}
        for name in names:
            ledger.ask(name, Use(serial=held[name]), now_s + 1)
        for name in names:
            ledger.ask(name, Use(), now_s + 2)
        queued = [
            ledger.ask(name, Use(ahead_slots=3, queued=1), now_s + 3) for name in names
        ]
        self.assertEqual(COLD_SLOTS, sum(loan.slots for loan in queued))

    def test_cold_target_is_lent_in_advance_while_nobody_queues(self):
        ledger = make_ledger(warm=False)
        now_s = TAKEOVER_S + 1
        idle = Use(ahead_slots=2)
        loans = [ledger.ask(name, idle, now_s) for name in ("a", "b", "c")]
        self.assertEqual([1, 1, 0], [loan.slots for loan in loans])
        waiting = Use(ahead_slots=2, queued=1)
        ledger.ask("c", waiting, now_s + 1)
        back = ledger.ask("a", Use(ahead_slots=2, serial=loans[0].serial), now_s + 2)
        self.assertEqual(0, back.slots)
        ledger.ask("a", Use(ahead_slots=2, serial=back.serial), now_s + 3)
        self.assertEqual(1, ledger.ask("c", waiting, now_s + 4).slots)

    def test_cold_target_goes_on_being_lent_when_loans_are_renewed(self):
        ledger = make_ledger(warm=False)
        now_s = TAKEOVER_S + 1
        serials = dict.fromkeys("abc", 0)
        for _ in range(5):
            now_s += 1.0
            lent = {}
            for name, serial in serials.items():
                use = Use(ahead_slots=2, serial=serial)
                lent[name] = ledger.ask(name, use, now_s)
                serials[name] = lent[name].serial
            self.assertEqual(COLD_SLOTS, sum(loan.slots for loan in lent.values()))

    def test_home_without_the_lease_lends_nothing(self):
        ledger = make_ledger()
        loan = ledger.ask("a", Use(ahead_slots=4, queued=1), 1.0, lends=False)
        self.assertEqual(0, loan.slots)

    def test_contended_target_is_shared_evenly(self):
        ledger = make_ledger()
        loans = {}
        for _ in range(4):
            for name in ("a", "b"):
                held = loans.get(name)
                use = Use(ahead_slots=40, queued=1, serial=held.serial if held else 0)
                loans[name] = ledger.ask(name, use, 1.0)
        self.assertEqual([7, 7], [loan.slots for loan in loans.values()])

    def test_memory_is_lent_within_what_the_engine_holds(self):
        ledger = make_ledger()
        use = Use(ahead_slots=4, queued=1, ahead_tokens=50_000)
        loans = [ledger.ask(name, use, 1.0) for name in ("a", "b", "c")]
        self.assertLessEqual(sum(loan.tokens for loan in loans), 60_000)


class Entry:
    """An entry of the model: what it runs and the loan that it holds."""

    def __init__(self, name):
        self.name = name
        self.running = 0
        self.least = 0
        self.least_since_ask = 0
        self.loan = None
        self.life_ends_s = 0.0

    def use(self, ahead):
        self.least_since_ask = self.running
        return Use(
            slots=self.running,
            ahead_slots=ahead,
            serial=self.loan.serial if self.loan else 0,
            answers=1,
            queued=ahead % 3,
            least_slots=self.least,
        )

    def startable(self, now_s):
        if self.loan is None or self.life_ends_s <= now_s:
            return 0
        return max(0, self.loan.slots - self.running)


class Model:
    """Entries, one target and its home or homes, with messages that get lost."""

    def __init__(self, ledgers):
        self.now_s = 100.0
        self.ledgers = ledgers
        self.entries = [Entry(f"v{n}") for n in range(4)]
        self.homes = dict.fromkeys(range(4), 0)
        self.orphans = 0
        self.names = 4

    def step(self, action, index, amount):
        getattr(self, action)(index, amount)
        self.now_s += 0.01
        self.converge()

    def ask(self, index, amount):
        entry = self.entries[index]
        ledger = self.ledgers[self.homes[index]]
        sent_s = self.now_s
        loan = ledger.ask(entry.name, entry.use(amount), self.now_s)
        if amount % 4:
            entry.loan = loan
            entry.least = entry.least_since_ask
            entry.life_ends_s = sent_s + LOAN_LIFE_S

    def start(self, index, amount):
        entry = self.entries[index]
        entry.running += min(amount, entry.startable(self.now_s))

    def end(self, index, amount):
        entry = self.entries[index]
        entry.running = max(0, entry.running - amount)
        entry.least = min(entry.least, entry.running)
        entry.least_since_ask = min(entry.least_since_ask, entry.running)

    def die(self, index, amount):
        """Restart an entry; its work goes on at the target."""
        self.orphans += self.entries[index].running
        self.names += 1
        self.entries[index] = Entry(f"v{self.names}")

    def end_orphans(self, index, amount):
        self.orphans = max(0, self.orphans - amount)

    def wait(self, index, amount):
        """Let time pass, with a load report every second."""
        for _ in range(amount):
            self.now_s += 1.0
            self.converge()
            for ledger in self.ledgers:
                ledger.observe_load("boot", self.running(), 60_000, 0, self.now_s)

    def partition(self, index, amount):
        """Let time pass without reports and without asks."""
        self.now_s += amount

    def switch(self, index, amount):
        """Let an entry believe in the other home and drop its loan."""
        self.homes[index] = 1
        self.entries[index].loan = None

    def converge(self):
        """Let all views agree within a loan's life, and asks follow a period on."""
        if len(self.ledgers) < 2:
            return
        for index, entry in enumerate(self.entries):
            if self.now_s > 100.0 + LOAN_LIFE_S and not self.homes[index]:
                self.switch(index, 0)
            if self.now_s > 100.0 + LOAN_LIFE_S + 2 and entry.loan is None:
                self.ask(index, 1)

    def running(self):
        return self.orphans + sum(entry.running for entry in self.entries)

    def possible(self):
        startable = sum(entry.startable(self.now_s) for entry in self.entries)
        return self.running() + startable


ONE_HOME = {"ask": 8, "start": 6, "end": 3, "die": 1, "end_orphans": 1, "wait": 2}
STEPS = 250


def run_schedule(model, seed, weights):
    """Run random steps; return the most work that was possible at any time."""
    source = random.Random(seed)
    actions = source.choices(list(weights), list(weights.values()), k=STEPS)
    most = 0
    for action in actions:
        model.step(action, source.randrange(4), source.randint(1, MAXIMUM_SLOTS))
        most = max(most, model.possible())
    return most


class LedgerPropertyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.integers(0, 1 << 30))
    def test_sum_stays_within_the_allowance(self, seed):
        weights = {**ONE_HOME, "partition": 1}
        most = run_schedule(Model([make_ledger()]), seed, weights)
        self.assertLessEqual(most, MAXIMUM_SLOTS)

    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(st.integers(0, 1 << 30))
    @example(293)
    @example(356)
    @example(640)
    @example(5358)
    @example(9939)
    def test_two_homes_at_once_stay_within_what_the_target_bears(self, seed):
        ledgers = [make_ledger(), make_ledger(now_s=100.0, warm=False)]
        weights = {**ONE_HOME, "switch": 1}
        most = run_schedule(Model(ledgers), seed, weights)
        self.assertLessEqual(most, MAXIMUM_SLOTS)
