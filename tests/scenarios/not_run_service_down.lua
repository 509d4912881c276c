-- Nothing listens at the service's address, so that the order certainly did not
-- run. It is answered with "not_run", and its key can be used again.
cluster{}
service_fault("p1", {down = true})
order("a", "first", "k", {limit = 5})
wait_ended("first")
expect_outcome("first", "not_run")
service_fault("p1", {})
advance(15)
order("b", "second", "k")
wait_ended("second")
expect_outcome("second", "completed")
advance(30)
expect_all()
