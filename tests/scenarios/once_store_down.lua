-- While the store is down, an order is refused as not run. It runs once after
-- the store is back.
cluster{}
store_down(true)
order("a", "first", "k", {limit = 5})
wait_ended("first")
expect_outcome("first", "not_run")
expect(runs_of("k") == 0, "the order ran during the outage")
advance(30)
store_down(false)
advance(10)
order("b", "second", "k")
wait_ended("second")
expect_outcome("second", "completed")
advance(30)
expect_all()
