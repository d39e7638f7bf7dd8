"""Parser of the process scenarios: one step a line, `verb argument... key=value... [-> expectation...]`.

Everything that can be checked without running is checked here, so that a mistake in a scenario is reported with file
and line before any process starts.
"""

import re
import shlex
from dataclasses import dataclass, field


class ScriptError(Exception):
    """A line that is not a valid step."""


@dataclass
class Expectation:
    name: str
    operator: str
    value: str

    def holds(self, actual):
        if self.operator == "~":
            return self.value in str(actual)
        if self.operator in ("=", "!="):
            matches = str(actual) in self.value.split("|")
            return matches == (self.operator == "=")
        number = float(self.value)
        return actual <= number if self.operator == "<=" else actual >= number

    def __str__(self):
        return f"{self.name}{self.operator}{self.value}"


@dataclass
class Step:
    file: str
    line: int
    text: str
    verb: str
    arguments: list = field(default_factory=list)
    options: dict = field(default_factory=dict)
    expectations: list = field(default_factory=list)

    def where(self):
        return f"{self.file}:{self.line}: {self.text}"


@dataclass
class Verb:
    # What each positional argument names; "new KIND" defines a name, another kind must have been defined.
    arguments: tuple = ()
    options: dict = field(default_factory=dict)
    required: tuple = ()
    # Patterns of the names that may be expected; None when nothing can be expected.
    expectations: tuple = None
    needs_expectation: bool = False
    # The words after the arguments are passed on as they are.
    passes_words: bool = False


def parse_duration(text):
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s)", text)
    if not match:
        raise ValueError(f"'{text}' is not a duration such as 200ms or 3s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def parse_count(text):
    if not re.fullmatch(r"\d+", text):
        raise ValueError(f"'{text}' is not a whole number")
    return int(text)


def parse_number(text):
    if not re.fullmatch(r"\d+(\.\d+)?", text):
        raise ValueError(f"'{text}' is not a number")
    return float(text)


def parse_rate(text):
    rate = parse_number(text)
    if rate <= 0:
        raise ValueError(f"'{text}' is not a rate above 0")
    return rate


def parse_names(text):
    names = text.split(",")
    if not all(names):
        raise ValueError(f"'{text}' is not a list of names")
    return names


def parse_flag(text):
    if text not in ("yes", "no"):
        raise ValueError(f"'{text}' is neither yes nor no")
    return text == "yes"


CALL_OPTIONS = {
    "service": str, "method": str, "path": str, "body": str, "timeout-ms": parse_count, "key": str, "tenant": str}
CALL_EXPECTATIONS = ("status", "outcome", "reason", "body", "tag", "ms", r"header\.[A-Za-z-]+")

VERBS = {
    "start table": Verb(),
    "start objects": Verb(),
    "start node": Verb(
        ("new node",),
        {"zone": str, "region": str, "seeds": parse_names, "relay": parse_flag, "settings": parse_names},
        ("zone",)),
    "start target": Verb(
        ("new target",),
        {"node": str, "service": str, "slots": parse_count, "delay": parse_duration, "start-delay": parse_duration,
         "deduplicate": parse_flag},
        ("node", "service")),
    "operator": Verb(
        ("node",), {"within": parse_duration, "until": parse_duration}, (), ("exit", "output"), True, True),
    "note version": Verb(("service",), {"node": str}, ("node",)),
    "wait node": Verb(("node",), {"within": parse_duration}, ("within",)),
    "wait targets": Verb(("service", "count"), {"on": parse_names, "within": parse_duration}, ("on", "within")),
    "wait load": Verb(("load",), {"within": parse_duration}, ("within",)),
    "request": Verb(
        ("new request",),
        {**CALL_OPTIONS, "node": str, "within": parse_duration, "until": parse_duration, "background": parse_flag},
        ("node",), CALL_EXPECTATIONS),
    "wait request": Verb(("request",), {"within": parse_duration}, ("within",), CALL_EXPECTATIONS, True),
    "raw": Verb((), {"node": str, "text": str, "within": parse_duration}, ("node", "text"), ("status", "outcome"), True),
    "load": Verb(
        ("new load",),
        {**CALL_OPTIONS, "nodes": parse_names, "rate": parse_rate, "duration": parse_duration,
         "threads": parse_count, "keep": parse_flag},
        ("nodes", "service", "rate", "duration")),
    "expect load": Verb(
        ("load",), {}, (),
        ("sent", "lost", "wrong", "run", "not-run", "may-have-run", "max-ms", r"status\.\d+", r"reason\.[a-z-]+"), True),
    "expect executions": Verb(("calls", "rule"), {}, ()),
    "expect total": Verb(("target",), {}, (), ("executions",), True),
    "kill": Verb(("process",)),
    "stop": Verb(("process",), {"exit": parse_count, "within": parse_duration, "background": parse_flag}, ("within",)),
    "wait exit": Verb(("process",), {"exit": parse_count, "within": parse_duration}, ("within",)),
    "freeze": Verb(("process",)),
    "resume": Verb(("process",)),
    "cut": Verb(("node", "node")),
    "heal": Verb(("node", "node")),
    "control": Verb(("store",), {
        "down": str, "slowMs": parse_count, "dropNext": parse_count, "dropRate": str, "lateRate": str,
        "lateMs": parse_count, "isAppliedLate": parse_flag, "writesPerSecond": parse_count}),
    "behaviour": Verb(("target",), {}, (), None, False, True),
    "sleep": Verb(("duration",)),
}

RULES = ("at-most-once", "answered-once", "not-run-never")
EXPECTATION = re.compile(r"([A-Za-z][A-Za-z0-9.-]*)(<=|>=|!=|=|~)(.*)", re.DOTALL)
NAME = re.compile(r"[A-Za-z][A-Za-z0-9-]*")


class Parser:
    def __init__(self, file):
        self.file = file
        self.names = {"table": set(), "objects": set()}
        self.relayed = set()

    def parse(self, text):
        steps = []
        for number, line in enumerate(text.splitlines(), 1):
            try:
                words = shlex.split(line, comments=True)
                if words:
                    steps.append(self.parse_step(number, line.strip(), words))
            except ValueError as error:
                raise ScriptError(f"{self.file}:{number}: {error}") from None
        if not steps:
            raise ScriptError(f"{self.file}: no step")
        return steps

    def parse_step(self, number, line, words):
        name = " ".join(words[:2]) if " ".join(words[:2]) in VERBS else words[0]
        if name not in VERBS:
            raise ValueError(f"unknown step '{words[0]}'")
        verb = VERBS[name]
        words = words[len(name.split()):]
        step = Step(self.file, number, line, name)
        if "->" in words:
            position = words.index("->")
            self.parse_expectations(step, verb, words[position + 1:])
            words = words[:position]
        elif verb.needs_expectation:
            raise ValueError(f"'{name}' needs '->' and what is expected")
        if len(words) < len(verb.arguments):
            raise ValueError(f"'{name}' needs: {', '.join(verb.arguments)}")
        for kind, word in zip(verb.arguments, words):
            step.arguments.append(self.parse_argument(kind, word))
        self.parse_rest(step, verb, words[len(verb.arguments):])
        self.check_step(step)
        return step

    def parse_expectations(self, step, verb, words):
        if verb.expectations is None:
            raise ValueError(f"'{step.verb}' takes no expectation")
        if not words:
            raise ValueError("nothing after '->'")
        for word in words:
            match = EXPECTATION.fullmatch(word)
            if not match or not any(re.fullmatch(it, match[1]) for it in verb.expectations):
                raise ValueError(f"'{word}' cannot be expected of '{step.verb}'")
            if match[2] in ("<=", ">="):
                parse_number(match[3])
            step.expectations.append(Expectation(*match.groups()))

    def parse_argument(self, kind, word):
        if kind.startswith("new "):
            if not NAME.fullmatch(word):
                raise ValueError(f"'{word}' is not a name")
            kind = kind[4:]
            if any(word in names for other, names in self.names.items() if other != "request" or kind != "request"):
                raise ValueError(f"'{word}' is already the name of something else")
            self.names.setdefault(kind, set()).add(word)
            return word
        if kind == "count":
            return parse_count(word)
        if kind == "duration":
            return parse_duration(word)
        if kind == "service":
            return word
        if kind == "rule":
            if word not in RULES:
                raise ValueError(f"'{word}' is none of: {', '.join(RULES)}")
            return word
        self.check_name(kind, word)
        return word

    def check_name(self, kind, word):
        kinds = {"process": ("node", "target", "store"), "calls": ("load", "request"), "store": ("store",)}
        if not any(word in self.names.get(it, ()) for it in kinds.get(kind, (kind,))):
            raise ValueError(f"no {kind} has the name '{word}'")

    def parse_rest(self, step, verb, words):
        for word in words:
            key, separator, value = word.partition("=")
            if separator and key in verb.options:
                if key in step.options:
                    raise ValueError(f"'{key}' is given twice")
                step.options[key] = verb.options[key](value)
            elif verb.passes_words:
                step.arguments.append(word)
            else:
                raise ValueError(f"'{step.verb}' has no option '{word}'")
        for key in verb.required:
            if key not in step.options:
                raise ValueError(f"'{step.verb}' needs {key}=")

    def check_step(self, step):
        if step.verb in ("start table", "start objects"):
            name = step.verb.split()[1]
            if name in self.names.get("store", ()):
                raise ValueError(f"the {name} stand-in is already started")
            self.names.setdefault("store", set()).add(name)
        if step.verb == "start node":
            if not {"table", "objects"} <= self.names.get("store", set()):
                raise ValueError("a node needs 'start table' and 'start objects' before it")
            if step.options.get("relay"):
                self.relayed.add(step.arguments[0])
        if step.verb in ("cut", "heal"):
            for name in step.arguments:
                if name not in self.relayed:
                    raise ValueError(f"node '{name}' has no relay=yes")
        if "node" in step.options:
            self.check_name("node", step.options["node"])
        for key in ("nodes", "on", "seeds"):
            for name in step.options.get(key, ()):
                self.check_name("node", name)
        if step.options.get("down", "up") not in ("up", "close", "refuse"):
            raise ValueError("down is up, close or refuse")
        if step.options.get("background") and step.expectations:
            raise ValueError("the answer of a background request is expected by 'wait request'")


def parse_script(file, text):
    return Parser(file).parse(text)
