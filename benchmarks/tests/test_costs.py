"""Tests of the cost of decisions and of the memory of the control state."""

import gc
import sys

from benchmarks import costs


class InstructionCounter:
    """Counts the bytecode instructions of called functions."""

    def __init__(self):
        """Start at zero."""
        self.instructions = 0

    def start(self):
        """Start to count in all functions that are called from now on."""
        sys.settrace(self.trace_call)

    def trace_call(self, frame, event, _argument):
        """Trace the instructions of a call."""
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        return self.trace_instruction

    def trace_instruction(self, _frame, event, _argument):
        """Count one instruction."""
        self.instructions += event == 'opcode'
        return self.trace_instruction


def count_instructions(upstreams):
    """Return the mean number of instructions per decision.

    Unlike the time, it does not depend on the load of the machine.
    """
    counter = InstructionCounter()
    previous_trace = sys.gettrace()
    gc.disable()
    try:
        costs.run_decisions(upstreams, counter.start)
    finally:
        sys.settrace(previous_trace)
        gc.enable()
    return counter.instructions / costs.DECISIONS


def test_decision_cost_does_not_grow_with_the_upstreams():
    """Guards against a tick that iterates over all upstreams or requests."""
    small = count_instructions(26)
    large = count_instructions(260)
    assert large < 2 * small


def test_instruction_counter_detects_a_scan_of_all_upstreams(monkeypatch):
    """Guards against a counter that misses growth with the upstreams."""
    original_decide = costs._decide

    def decide_with_scan(allocator, number, now, leases):
        original_decide(allocator, number, now, leases)
        for _ in range(2 * len(leases)):
            number += 1

    monkeypatch.setattr(costs, '_decide', decide_with_scan)
    monkeypatch.setattr(costs, 'DECISIONS', 200)
    assert count_instructions(260) >= 2 * count_instructions(26)


def test_memory_of_the_largest_fleet_is_bounded():
    """Guards against tables that exceed their memory limit on a host."""
    assert costs.measure_memory() < 32
