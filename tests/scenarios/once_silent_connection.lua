-- At most once, silent connection: pooled connections to the service have gone
-- silent; an order takes a new one.
cluster{}
service_fault("p1", {old_silent = true})
order("a", "first", "k", {limit = 10})
wait_ended("first")
expect_outcome("first", "completed")
service_fault("p1", {silent = true})
order("a", "second", "k2", {limit = 5})
wait_ended("second")
expect_outcome("second", "unknown")
service_fault("p1", {})
order("b", "third", "k2", {limit = 5})
wait_ended("third")
expect(runs_of("k2") <= 1, "it ran twice")
advance(30)
expect_all()
