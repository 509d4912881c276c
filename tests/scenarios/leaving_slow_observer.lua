-- One entry that receives no messages from a peer must not make the others
-- remove that peer from the membership.
cluster{}
cut_one_way("a", "b")
advance(30)
expect(lists("c", "a"), "c no longer lists a, which is healthy")
submit("a", "q")
wait_ended("q")
expect_outcome("q", "completed")
heal()
advance(30)
expect(lists("b", "a"), "b does not list a again")
expect_all()
