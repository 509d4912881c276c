-- At most once, lost reply of the service: the order ran, its caller is told
-- "unknown", and nobody runs it again.
cluster{}
lose_service_replies("p1", 1)
order("a", "first", "k", {limit = 5})
wait_ended("first")
expect_outcome("first", "unknown")
order("b", "second", "k", {limit = 5})
wait_ended("second")
expect_outcome("second", "unknown", "failed")
expect(runs_of("k") == 1, "it ran again")
advance(30)
expect_all()
