"""At-most-once execution of requests, retry budgets, answer chunks."""
