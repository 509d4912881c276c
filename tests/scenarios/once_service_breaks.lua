-- At most once, death of the service: it breaks the connection after it ran the
-- order, and a second instance of it stands ready.
cluster{services = 2}
lose_service_replies("p1", 1)
lose_service_replies("p2", 1)
order("a", "first", "k")
wait_ended("first")
expect_outcome("first", "unknown")
order("b", "second", "k")
wait_ended("second")
expect_outcome("second", "unknown", "failed")
expect(runs_of("k") == 1, "it ran again")
advance(30)
expect_all()
