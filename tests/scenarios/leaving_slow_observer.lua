-- One observer that hears nothing from an entry must not evict it.
cluster{}
cut_one_way("a", "b")
advance(30)
expect(lists("c", "a"), "c evicted a healthy entry")
submit("a", "q")
wait_ended("q")
expect_outcome("q", "completed")
heal()
advance(30)
expect(lists("b", "a"), "b did not take a back")
expect_all()
