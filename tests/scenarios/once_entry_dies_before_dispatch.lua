-- With a slow store, an entry dies while the write of its intent is in flight.
-- The order must run at most once.
cluster{}
store_slow(0.5)
order("a", "first", "k")
advance(0.2)
kill_entry("a")
order("b", "second", "k")
wait_ended("second")
store_slow(0)
advance(60)
order("c", "later", "k")
wait_ended("later")
expect_runs_at_most_once()
advance(30)
expect_all()
