-- Pooled connections to the service no longer carry data. An order is sent over
-- a new connection.
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
expect(runs_of("k2") <= 1, "the order ran more than once")
advance(30)
expect_all()
