-- At most once, process death: the entry dies while the service runs the order.
cluster{}
service_fault("p1", {run_time = 2})
order("a", "first", "k")
wait_for(function() return runs_of("k") == 1 end, 10)
kill_entry("a")
order("b", "second", "k")
wait_ended("second")
expect_outcome("first", "broken")
-- The second caller never hears "not_run", since the first one did run.
expect_outcome("second", "unknown", "completed", "failed")
advance(60)
order("c", "later", "k")
wait_ended("later")
expect(runs_of("k") == 1, "the order ran again")
advance(30)
expect_all()
