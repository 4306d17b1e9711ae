"""Tests of answer assembly, retry budget and hedging."""

import random

import pytest

from trefoilhaven_core.requests.answers import (
    AnswerAssembler,
    Closing,
    PartialAnswer,
    CompleteAnswer,
    split_answer,
)
from trefoilhaven_core.requests.budgets import (
    BUDGET_BURST,
    MIN_HEDGE_SAMPLES,
    RETRY_SHARE,
    HedgePolicy,
    RetryBudget,
)


def _assemble(
    parts: list[tuple[int, bytes]],
    closing: Closing | None,
    key: str = 'key',
) -> CompleteAnswer | PartialAnswer:
    assembler = AnswerAssembler('collect', 'key')
    for number, content in parts:
        assembler.add_chunk('collect', key, number, content)
    if closing is not None:
        assembler.add_closing('collect', 'key', closing)
    return assembler.result()


class TestAnswerAssembler:
    """Complete answers and findings."""

    @pytest.mark.parametrize('seed', range(20))
    def test_any_order(self, seed: int) -> None:
        """Guards against reordering or duplicates that change the answer."""
        generator = random.Random(seed)
        content = generator.randbytes(generator.randrange(100))
        split = split_answer(content, 7)
        parts = list(enumerate(split.chunks)) * 2
        generator.shuffle(parts)
        closing = Closing(len(split.chunks), split.length, split.digest)
        assert _assemble(parts, closing) == CompleteAnswer(content)

    def test_findings(self) -> None:
        """Guards against accepting a partial answer or that of another key."""
        split = split_answer(b'abcdef', 2)
        parts = list(enumerate(split.chunks))
        closing = Closing(3, split.length, split.digest)
        partial = [
            _assemble(parts, None),
            _assemble(parts[1:], closing),
            _assemble([*parts, (3, b'')], closing),
            _assemble([*parts, (0, b'xy')], closing),
            _assemble([(0, b'xy'), *parts[1:]], closing),
            _assemble(parts, closing._replace(length=5)),
            _assemble(parts, closing, key='other'),
        ]
        assert all(isinstance(one, PartialAnswer) for one in partial)


class TestBudgets:
    """Retry budget and hedging."""

    def test_share(self) -> None:
        """Guards against retries that add more than a tenth to the load."""
        budget = RetryBudget()
        taken = 0
        for _ in range(1000):
            budget.on_request()
            taken += budget.take()
        assert taken <= 1000 * RETRY_SHARE + BUDGET_BURST

    def test_hedge(self) -> None:
        """Guards against early, third or non-idempotent copies."""
        policy = HedgePolicy(RetryBudget())
        assert not policy.should_hedge(100, 0, idempotent=True, copies=1)
        for _ in range(MIN_HEDGE_SAMPLES):
            policy.on_answer_time(0.1)
        assert not policy.should_hedge(0.09, 0, idempotent=True, copies=1)
        assert not policy.should_hedge(1, 0, idempotent=False, copies=1)
        assert not policy.should_hedge(1, 0, idempotent=True, copies=2)
        assert policy.should_hedge(1, 0, idempotent=True, copies=1)
