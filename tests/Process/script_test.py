"""Guards the parser: a mistake in a scenario must be an error with file and line, never a step that checks nothing."""

import pathlib
import unittest

from calls import Answer, check_executions
from script import ScriptError, parse_script

STORES = "start table\nstart objects\n"
NODE = STORES + "start node a zone=z\n"


class ParserTest(unittest.TestCase):
    def check_error(self, text, line, part):
        with self.assertRaises(ScriptError) as caught:
            parse_script("x.scn", text)
        self.assertRegex(str(caught.exception), rf"^x\.scn:{line}: ")
        self.assertIn(part, str(caught.exception))

    def test_reads_a_valid_script(self):
        steps = parse_script("x.scn", NODE + "\n# comment\nrequest r node=a path=/x?delay=5 -> status=200 body~'a b' ms<=9\n")
        self.assertEqual([it.line for it in steps], [1, 2, 3, 6])
        self.assertEqual(steps[3].options["path"], "/x?delay=5")
        self.assertEqual([str(it) for it in steps[3].expectations], ["status=200", "body~a b", "ms<=9"])

    def test_operator_words_are_passed_on(self):
        steps = parse_script("x.scn", NODE + "operator a service create s --kind patient until=2s -> exit=0|5\n")
        self.assertEqual(steps[3].arguments, ["a", "service", "create", "s", "--kind", "patient"])
        self.assertEqual(steps[3].options["until"], 2)
        self.assertTrue(steps[3].expectations[0].holds(5))
        self.assertFalse(steps[3].expectations[0].holds(3))

    def test_unknown_step(self):
        self.check_error("start table\nexplode a\n", 2, "unknown step 'explode'")

    def test_empty_script(self):
        with self.assertRaises(ScriptError):
            parse_script("x.scn", "# nothing\n")

    def test_unclosed_quote(self):
        self.check_error("start table 'x\n", 1, "No closing quotation")

    def test_unknown_option(self):
        self.check_error(STORES + "start node a zone=z colour=red\n", 3, "colour=red")

    def test_missing_required_option(self):
        self.check_error(STORES + "start node a\n", 3, "needs zone=")

    def test_option_given_twice(self):
        self.check_error(STORES + "start node a zone=z zone=y\n", 3, "given twice")

    def test_node_without_stores(self):
        self.check_error("start node a zone=z\n", 1, "start table")

    def test_unknown_node(self):
        self.check_error(NODE + "kill b\n", 4, "no process has the name 'b'")
        self.check_error(NODE + "load l nodes=a,b service=s rate=1 duration=1s\n", 4, "no node has the name 'b'")

    def test_name_given_twice(self):
        self.check_error(NODE + "start target a node=a service=s\n", 4, "already the name")

    def test_malformed_values(self):
        self.check_error("sleep 5\n", 1, "not a duration")
        self.check_error(NODE + "load l nodes=a service=s rate=0 duration=1s\n", 4, "rate above 0")
        self.check_error(NODE + "stop a exit=x within=1s\n", 4, "not a whole number")
        self.check_error(STORES + "control table down=maybe\n", 3, "up, close or refuse")

    def test_malformed_expectations(self):
        self.check_error(NODE + "request r node=a -> status\n", 4, "cannot be expected")
        self.check_error(NODE + "request r node=a -> colour=red\n", 4, "cannot be expected")
        self.check_error(NODE + "request r node=a ->\n", 4, "nothing after")
        self.check_error(NODE + "request r node=a -> ms<=fast\n", 4, "not a number")
        self.check_error(NODE + "kill a -> status=1\n", 4, "takes no expectation")

    def test_step_that_would_check_nothing(self):
        self.check_error(NODE + "operator a service list\n", 4, "needs '->'")
        self.check_error(NODE + "request r node=a background=yes -> status=200\n", 4, "wait request")

    def test_rule_of_executions(self):
        load = NODE + "load l nodes=a service=s rate=1 duration=1s\n"
        self.check_error(load + "expect executions l often\n", 5, "none of")

    def test_cut_without_relay(self):
        self.check_error(NODE + "start node b zone=z relay=yes\ncut a b\n", 5, "no relay=yes")

    def test_scenarios_can_be_read(self):
        for file in (pathlib.Path(__file__).parent / "scenarios").glob("*.scn"):
            parse_script(str(file), file.read_text("utf-8"))


class ExecutionsTest(unittest.TestCase):
    def answer(self, outcome, port=0):
        return Answer("t", status=200, headers={"berylport-outcome": outcome, "x-target-port": str(port)})

    def test_two_runs_violate_at_most_once(self):
        self.assertIn("ran 2 times", check_executions("at-most-once", [self.answer("run", 1)], {1: {"t": 1}, 2: {"t": 1}}))
        self.assertEqual("", check_executions("at-most-once", [self.answer("run", 1)], {1: {"t": 1}, 2: {}}))

    def test_run_on_a_killed_target_counts(self):
        self.assertIn("ran 2 times", check_executions("at-most-once", [self.answer("run", 9)], {1: {"t": 1}}))
        self.assertEqual("", check_executions("answered-once", [self.answer("run", 9)], {1: {}}))

    def test_false_not_run_is_found(self):
        self.assertIn("answered not-run", check_executions("not-run-never", [self.answer("not-run")], {1: {"t": 1}}))

    def test_answer_without_a_run_is_found(self):
        self.assertIn("ran 0 times", check_executions("answered-once", [self.answer("run")], {1: {}}))

    def test_lost_answer_is_found_in_its_outcome(self):
        self.assertEqual(Answer("t", error="reset").outcome, "lost")

    def test_answer_of_another_request_is_wrong(self):
        headers = {"x-target-port": "1", "x-request-tag": "u"}
        self.assertTrue(Answer("t", status=200, headers=headers, body=b'{"tag":"u"}').is_wrong())
        self.assertTrue(Answer("u", status=200, headers=headers, body=b'{"tag":"t"}').is_wrong())
        self.assertFalse(Answer("u", status=200, headers=headers, body=b'{"tag":"u"}').is_wrong())


if __name__ == "__main__":
    unittest.main()
