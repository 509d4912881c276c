-- An entry that is cut off from its peers still gets a new configuration from
-- the store.
cluster{}
cut("a", "b")
cut("a", "c")
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 30)
advance(7)
expect(generation_of("a") == 2, "a does not have generation 2")
heal()
advance(30)
expect_all()
