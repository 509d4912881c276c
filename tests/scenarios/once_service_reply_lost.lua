-- The service runs an order, but its reply is lost. The caller is answered with
-- "unknown", and the order does not run again.
cluster{}
lose_service_replies("p1", 1)
order("a", "first", "k", {limit = 5})
wait_ended("first")
expect_outcome("first", "unknown")
order("b", "second", "k", {limit = 5})
wait_ended("second")
expect_outcome("second", "unknown", "failed")
expect(runs_of("k") == 1, "the order ran again")
advance(30)
expect_all()
