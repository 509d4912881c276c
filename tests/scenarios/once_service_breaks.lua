-- The service closes the connection after it ran an order, while a second
-- instance of it is ready. The order must not run again at the second one.
cluster{services = 2}
lose_service_replies("p1", 1)
lose_service_replies("p2", 1)
order("a", "first", "k")
wait_ended("first")
expect_outcome("first", "unknown")
order("b", "second", "k")
wait_ended("second")
expect_outcome("second", "unknown", "failed")
expect(runs_of("k") == 1, "the order ran again")
advance(30)
expect_all()
