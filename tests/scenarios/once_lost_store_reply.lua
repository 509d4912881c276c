-- At most once, lost reply: the store takes the intent and its reply is lost.
cluster{}
lose_store_replies(1)
order("a", "first", "k")
order("b", "second", "k")
wait_ended("first")
wait_ended("second")
-- The journal replaces the unresolved intent by a tombstone meanwhile.
advance(40)
order("c", "later", "k")
wait_ended("later")
expect(runs_of("k") == 1, "the order never ran")
advance(30)
expect_all()
