-- An entry is frozen while a new configuration is approved. After it is thawed,
-- it moves to the newer generation and never to an older one.
cluster{}
freeze("c")
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 30)
advance(30)
thaw("c")
advance(7)
expect(generation_of("c") == 2, "c does not have generation 2")
expect_all()
