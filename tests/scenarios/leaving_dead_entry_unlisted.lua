-- The other entries stop listing an entry that died. An entry that was frozen
-- is listed again once it is thawed.
cluster{}
kill_entry("a")
freeze("b")
advance(30)
thaw("b")
advance(20)
expect(lists("c", "b"), "c does not list b again")
expect(lists("b", "c"), "b no longer lists c")
expect_all()
