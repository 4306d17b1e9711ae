"""Tests of request records, answers and retry budgets."""
