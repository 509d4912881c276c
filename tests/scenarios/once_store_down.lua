-- At most once, store down: an order is refused as not run, and runs once when
-- the store is back.
cluster{}
store_down(true)
order("a", "first", "k", {limit = 5})
wait_ended("first")
expect_outcome("first", "not_run")
expect(runs_of("k") == 0, "it ran")
advance(30)
store_down(false)
advance(10)
order("b", "second", "k")
wait_ended("second")
expect_outcome("second", "completed")
advance(30)
expect_all()
