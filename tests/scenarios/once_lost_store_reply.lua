-- The store writes an intent, but its reply is lost. The order must run exactly
-- once.
cluster{}
lose_store_replies(1)
order("a", "first", "k")
order("b", "second", "k")
wait_ended("first")
wait_ended("second")
-- Meanwhile the journal replaces the unresolved intent by a tombstone.
advance(40)
order("c", "later", "k")
wait_ended("later")
expect(runs_of("k") == 1, "the order did not run exactly once")
advance(30)
expect_all()
