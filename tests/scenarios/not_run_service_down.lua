-- "Not run" is true, engine death: nothing listens at the service, so that the
-- order is provably not run, and its key may start anew.
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
