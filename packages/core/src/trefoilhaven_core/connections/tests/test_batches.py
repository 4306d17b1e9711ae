"""Questions that travel together."""

from trefoilhaven_core.connections.batches import (
    DATAGRAM_PAUSE_S,
    MAX_QUERY_QUESTIONS,
    MIN_BATCH_DELAY_S,
    QuestionBatch,
)
from trefoilhaven_core.connections.effects import AskMember, AskPeer
from trefoilhaven_core.connections.messages import (
    HolderQuery,
    Question,
    RouteQuery,
)
from trefoilhaven_core.connections.tests.support import (
    BALANCER,
    key_of,
    make_member,
)

MEMBERS = [make_member(f't{number}') for number in range(60)]


def ask_all(batch: QuestionBatch, number: int) -> None:
    """Ask all members for a connection."""
    question = Question(key_of(number), 0)
    for member in MEMBERS:
        batch.add(AskMember(member, question))


class TestQuestionBatch:
    """How many datagrams many searches take."""

    def test_single_search(self) -> None:
        """Guards against a delay of a search that is alone."""
        batch = QuestionBatch()
        ask_all(batch, 1)
        assert batch.delay_s(10) == MIN_BATCH_DELAY_S
        assert len(batch.take(10)) == len(MEMBERS)
        assert batch.is_empty

    def test_many_searches(self) -> None:
        """Guards against datagrams that a small host has no time for.

        A hundred searches a second of 60 agents each must not take a
        datagram for each question.
        """
        batch = QuestionBatch()
        sent = 0
        due = 0.0
        for step in range(100):
            now = step / 100
            ask_all(batch, step)
            if now >= due:
                sent += len(batch.take(now))
                due = now + batch.delay_s(now)
        assert sent <= 1 / DATAGRAM_PAUSE_S + 2 * len(MEMBERS)

    def test_asked_again(self) -> None:
        """Guards against a question that is in one datagram twice."""
        batch = QuestionBatch()
        ask_all(batch, 1)
        ask_all(batch, 1)
        message = batch.take(0)[0].message
        assert isinstance(message, HolderQuery)
        assert len(message.questions) == 1

    def test_datagram_size(self) -> None:
        """Guards against datagrams that the network splits."""
        batch = QuestionBatch()
        for number in range(MAX_QUERY_QUESTIONS + 1):
            question = Question(key_of(number), 0)
            batch.add(AskMember(MEMBERS[0], question))
        assert len(batch.take(0)) == 2

    def test_peers(self) -> None:
        """Guards against a balancer that is not asked."""
        batch = QuestionBatch()
        batch.add(AskPeer(BALANCER, key_of(1)))
        assert not batch.is_empty
        outgoing = batch.take(0)[0]
        assert outgoing == (BALANCER, RouteQuery((key_of(1),)))
