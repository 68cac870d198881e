"""Tests of the memory budget that responses share."""

import dataclasses

from wagtailspread.gateway import buffers

_MEMORY = buffers.CutReason.MEMORY


@dataclasses.dataclass(eq=False)
class FakeResponse:
    """A response that is being read."""

    budget: buffers.BufferBudget
    size: int = 0
    is_whole: bool = False
    reason: buffers.CutReason | None = None

    def cut(self, reason):
        """Record the reason and release the budget."""
        self.reason = reason
        self.budget.release(self)


def create_responses(total, *sizes):
    """Return a budget and responses of these sizes."""
    budget = buffers.BufferBudget(total, _MEMORY)
    responses = [FakeResponse(budget) for _ in sizes]
    for response, size in zip(responses, sizes, strict=True):
        budget.add(response, size)
    return budget, responses


def test_the_largest_response_is_cut_for_a_small_one():
    """Guards against cutting small responses of healthy upstreams."""
    budget, (large, small) = create_responses(100, 70, 20)
    budget.add(small, 20)
    assert large.reason is _MEMORY
    assert small.reason is None
    assert budget.used_bytes == 40


def test_a_response_that_outgrows_all_others_is_cut_itself():
    """Guards against cutting others instead of the largest response."""
    budget, (first, second) = create_responses(100, 40, 30)
    budget.add(second, 60)
    assert second.reason is _MEMORY
    assert first.reason is None
    assert budget.used_bytes == 40


def test_a_complete_response_is_not_cut():
    """Guards against cutting a response that is about to be forwarded."""
    budget, (whole, other) = create_responses(100, 70, 20)
    whole.is_whole = True
    budget.add(other, 20)
    assert whole.reason is None
    assert other.reason is _MEMORY
    assert budget.used_bytes == 70
    budget.add(whole, 40)
    assert whole.reason is None


def test_several_responses_are_cut_for_a_complete_one():
    """Guards against a budget that stays exceeded."""
    budget, (first, second, whole) = create_responses(100, 30, 30, 10)
    whole.is_whole = True
    budget.add(whole, 70)
    assert first.reason is _MEMORY
    assert second.reason is _MEMORY
    assert whole.reason is None
    assert budget.used_bytes == 80


def test_the_budget_is_unused_after_all_responses_are_released():
    """Guards against a budget that shrinks with each release."""
    budget, responses = create_responses(100, 30, 30)
    for response in (*responses, *responses):
        budget.release(response)
    assert budget.used_bytes == 0


def test_limits_follow_the_memory_and_the_link():
    """Guards against limits that exceed the memory or link of a small host."""
    limits = buffers.create_limits(200_000_000, 250_000)
    assert limits.total_bytes == 25_000_000
    assert limits.answer_bytes == 12_500_000
    assert limits.unsized_total_bytes == 1_000_000
    assert limits.unsized_bytes == 1_000_000
    wide = buffers.create_limits(200_000_000, 125_000_000)
    assert wide.unsized_bytes == 3_125_000
    unknown = buffers.create_limits()
    assert unknown.total_bytes * 8 == buffers.DEFAULT_MEMORY_BYTES
