"""Rights as rules in a small language, and the decisions they make. Pure.

    role indexers = ana, index-bot
    allow indexers submit, cancel on arhiv-team
    deny @everyone cancel on arhiv-team/notary

Of the rules that match, the last decides; where none does, the answer is no.
"""

from functools import cache
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken
from msgspec import Struct

from starlingdeck.protocol.settings import Fault

ACTIONS = (
    "submit",
    "show",
    "list",
    "cancel",
    "alter",
    "set-count",
    "drain",
    "return",
    "read-audit",
    "change-rights",
    "run-as",
)
EVERYONE = "@everyone"
ALL = "*"
MOST_LINES = 2000
GRAMMAR = r"""
?line: role | rule
role: "role" NAME "=" NAME ("," NAME)*
rule: VERDICT subject actions "on" queues
subject: EVERYONE | NAME
actions: ALL | NAME ("," NAME)*
queues: queue ("," queue)*
queue: ALL | NAME ["/" NAME]
VERDICT.2: /(allow|deny)\b/
EVERYONE: "@everyone"
ALL: "*"
NAME: /[A-Za-z0-9][A-Za-z0-9._-]{0,59}/
COMMENT: /#.*/
%ignore COMMENT
%ignore /[ \t]+/
"""


class Queue(Struct, frozen=True):
    """A team's jobs, or those of one of its classes. Empty: what belongs to no team."""

    team: str = ""
    cls: str = ""


class Rule(Struct, frozen=True):
    line: int
    allow: bool
    subject: str
    actions: frozenset[str]
    queues: tuple[Queue, ...]  # an empty team stands for all
    text: str


class Decision(Struct, frozen=True):
    """`line` is that of the rule that decided, 0 if none matched."""

    allowed: bool
    line: int
    reason: str
    rev: int


class Rights(Struct, frozen=True):
    roles: dict[str, frozenset[str]]
    rules: tuple[Rule, ...]
    rev: int = 0

    def decide(self, principal: str, action: str, queue: Queue) -> Decision:
        """Whether a principal may do something on a queue, and by which rule."""
        for rule in reversed(self.rules):
            if (
                action in rule.actions
                and any(covers(one, queue) for one in rule.queues)
                and self.means(rule.subject, principal)
            ):
                return Decision(rule.allow, rule.line, rule.text, self.rev)
        return Decision(False, 0, "no rule allows it", self.rev)

    def means(self, subject: str, principal: str) -> bool:
        return subject in (EVERYONE, principal) or principal in self.roles.get(subject, ())


def covers(rule: Queue, queue: Queue) -> bool:
    """Whether a rule's queue takes in another."""
    return not rule.team or (rule.team == queue.team and rule.cls in ("", queue.cls))


@cache
def parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", start="line")


def parse(text: str, rev: int = 0) -> Rights:
    """Rules as operators write them; raises Fault with every fault, by line and column."""
    faults: list[str] = []
    trees: list[tuple[int, str, Tree[Token]]] = []
    lines = text.splitlines()
    if len(lines) > MOST_LINES:
        raise Fault([f"line {MOST_LINES + 1}: at most {MOST_LINES} lines"])
    for number, line in enumerate(lines, 1):
        if not line.split("#")[0].strip():
            continue
        try:
            trees.append((number, line.strip(), parser().parse(line)))
        except UnexpectedInput as fault:
            faults.append(f"line {number}, column {column_of(fault, line)}: {said(fault)}")
    roles: dict[str, frozenset[str]] = {}
    for number, _, tree in trees:
        if tree.data == "role":
            name, *members = (str(t) for t in tree.children)
            if name in roles:
                faults.append(f"line {number}, column 6: role {name} is there already")
            roles[name] = frozenset(members)
    rules = []
    for number, line, tree in trees:
        if tree.data == "rule":
            verdict, subject, actions, queues = tree.children
            rules.append(
                Rule(
                    number,
                    verdict == "allow",
                    str(_tree(subject).children[0]),
                    frozenset(_actions(number, _tree(actions), faults)),
                    tuple(_queue(_tree(q)) for q in _tree(queues).children),
                    line,
                )
            )
    if faults:
        raise Fault(sorted(faults, key=lambda f: int(f.split(",")[0].split()[1])))
    return Rights(roles, tuple(rules), rev)


def _tree(node: Any) -> Tree[Token]:
    assert isinstance(node, Tree)
    return node


def _actions(number: int, tree: Tree[Token], faults: list[str]) -> list[str]:
    found = []
    for token in tree.children:
        assert isinstance(token, Token)
        if token == ALL:
            return list(ACTIONS)
        if token not in ACTIONS:
            known = ", ".join(ACTIONS)
            faults.append(
                f"line {number}, column {token.column}: no action {token}: one of {known}"
            )
        found.append(str(token))
    return found


def _queue(tree: Tree[Token]) -> Queue:
    team, cls = (*(str(t) for t in tree.children if t is not None), "")[:2]
    return Queue() if team == ALL else Queue(team, cls)


def column_of(fault: UnexpectedInput, line: str) -> int:
    """Counted from 1; the end of the line where something is missing."""
    ends = isinstance(fault, UnexpectedEOF) or (
        isinstance(fault, UnexpectedToken) and fault.token.type == "$END"
    )
    return len(line) + 1 if ends else int(fault.column)


def said(fault: UnexpectedInput) -> str:
    if isinstance(fault, UnexpectedCharacters):
        return f"unexpected {fault.char!r}"
    if isinstance(fault, UnexpectedToken):
        expected = ", ".join(sorted(fault.expected | fault.accepts or set()))
        what = "the line ends" if fault.token.type == "$END" else f"unexpected {str(fault.token)!r}"
        return f"{what}, expected {expected}"
    return "the line ends too soon"
