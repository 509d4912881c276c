-- The store goes down after an order's intent and before its result is written.
-- The order must not run again.
cluster{}
service_fault("p1", {run_time = 3})
order("a", "first", "k")
wait_for(function() return runs_of("k") == 1 end, 10)
store_down(true)
wait_ended("first")
expect_outcome("first", "completed")
order("b", "second", "k", {limit = 5})
wait_ended("second")
store_down(false)
advance(30)
order("c", "third", "k")
wait_ended("third")
expect(runs_of("k") == 1, "the order ran again")
advance(30)
expect_all()
