-- The write of an intent takes effect after its writer has given up, while
-- another entry begins a request with the same key. The order must run at most
-- once.
cluster{}
late_writes(1, 10)
order("a", "first", "k", {limit = 5})
advance(1)
order("b", "second", "k", {limit = 20})
wait_ended("first")
wait_ended("second")
advance(30)
order("c", "later", "k")
wait_ended("later")
expect_runs_at_most_once()
advance(30)
expect_all()
