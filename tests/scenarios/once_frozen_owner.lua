-- An entry is frozen during an order for longer than its lease. Other entries
-- take over, and it is thawed. The order must run at most once.
cluster{}
store_slow(0.3)
order("a", "first", "k")
advance(0.1)
freeze("a")
advance(20)
order("b", "second", "k")
wait_ended("second")
thaw("a")
store_slow(0)
wait_ended("first")
order("c", "third", "k")
wait_ended("third")
expect_runs_at_most_once()
advance(30)
expect_all()
