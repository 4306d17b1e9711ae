"""Tests of the batching of questions."""

import pytest
from trefoilhaven_core.connections.batches import (
    DATAGRAM_COST_S,
    DATAGRAM_PAUSE_S,
    MAX_QUERY_QUESTIONS,
    MIN_BATCH_DELAY_S,
    QuestionBatch,
    datagram_pause_s,
)
from trefoilhaven_core.connections.effects import QueryMember, QueryPeer
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
    """Add a question about a connection to all members."""
    question = Question(key_of(number), 0)
    for member in MEMBERS:
        batch.add(QueryMember(member, question))


class TestQuestionBatch:
    """The number of datagrams for one and for many searches."""

    def test_single_search(self) -> None:
        """Guards against a delay of a single search."""
        batch = QuestionBatch()
        ask_all(batch, 1)
        assert batch.delay_s(10) == MIN_BATCH_DELAY_S
        assert len(batch.take(10)) == len(MEMBERS)
        assert batch.is_empty

    def test_many_searches(self) -> None:
        """Guards against more datagrams than a small host can process.

        A hundred searches per second with 60 agents each must not need one
        datagram per question.
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
        """Guards against a duplicate question in a datagram."""
        batch = QuestionBatch()
        ask_all(batch, 1)
        ask_all(batch, 1)
        message = batch.take(0)[0].message
        assert isinstance(message, HolderQuery)
        assert len(message.questions) == 1

    def test_datagram_size(self) -> None:
        """Guards against fragmentation of large datagrams."""
        batch = QuestionBatch()
        for number in range(MAX_QUERY_QUESTIONS + 1):
            question = Question(key_of(number), 0)
            batch.add(QueryMember(MEMBERS[0], question))
        assert len(batch.take(0)) == 2

    def test_peers(self) -> None:
        """Guards against a query to a balancer that is not sent."""
        batch = QuestionBatch()
        batch.add(QueryPeer(BALANCER, key_of(1)))
        assert not batch.is_empty
        outgoing = batch.take(0)[0]
        assert outgoing == (BALANCER, RouteQuery((key_of(1),)))


class TestPacing:
    """Batches of hosts with more or less processor time.

    Callers send on lost connections after the return of a large fleet: each
    gateway asks all agents again and again.
    """

    FLEET = 136

    @pytest.mark.parametrize('processor_cores', [0.1, 0.25, 0.5, 2.0])
    def test_processor_share(self, processor_cores: float) -> None:
        """Guards against queries that leave no time for segments."""
        per_second = 1 / datagram_pause_s(processor_cores)
        assert per_second * DATAGRAM_COST_S <= 0.51 * processor_cores

    @pytest.mark.parametrize(
        ('processor_cores', 'limit_s'), [(0.5, 0.1), (2.0, 0.025)]
    )
    def test_large_fleet(self, processor_cores: float, limit_s: float) -> None:
        """Guards against searches that wait for the batch before theirs.

        A search needs up to three batches; with the pause of a very small
        host, the third one is sent 0.54 s after the first.
        """
        batch = QuestionBatch(datagram_pause_s(processor_cores))
        for number in range(self.FLEET):
            member = make_member(f't{number}')
            batch.add(QueryMember(member, Question(key_of(1), 0)))
        assert len(batch.take(10)) == self.FLEET
        assert batch.delay_s(10) <= limit_s
