-- An entry dies while the service runs an order. The order must not run again.
cluster{}
service_fault("p1", {run_time = 2})
order("a", "first", "k")
wait_for(function() return runs_of("k") == 1 end, 10)
kill_entry("a")
order("b", "second", "k")
wait_ended("second")
expect_outcome("first", "broken")
-- The second caller must not get "not_run", since the first order did run.
expect_outcome("second", "unknown", "completed", "failed")
advance(60)
order("c", "later", "k")
wait_ended("later")
expect(runs_of("k") == 1, "the order ran again")
advance(30)
expect_all()
