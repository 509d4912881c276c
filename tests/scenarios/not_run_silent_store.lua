-- The store receives an entry's writes, but its replies do not arrive: the
-- intent is written, and its writer never learns of it. "not_run" must be true.
cluster{}
store_silent("a", {from = true})
order("a", "first", "k", {limit = 6})
wait_ended("first")
expect_outcome("first", "unknown", "not_run")
store_silent("a", {from = false})
advance(60)
order("b", "second", "k")
wait_ended("second")
expect_runs_at_most_once()
advance(30)
expect_all()
