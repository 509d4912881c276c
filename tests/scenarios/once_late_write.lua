-- At most once, store slow: an intent takes effect after its writer gave up,
-- while another entry asks for the same key.
cluster{}
late_writes(1, 10)
order("a", "first", "k", {limit = 5})
advance(1)
order("b", "second", "k", {limit = 20})
wait_ended("first")
wait_ended("second")
advance(30)
order("c", "later", "k")
wait_ended("later")
expect_runs_at_most_once()
advance(30)
expect_all()
