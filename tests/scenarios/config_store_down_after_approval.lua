-- Only one entry reads the approved configuration before the store goes down.
-- The others get it from that entry.
cluster{}
store_silent("b", {from = true})
store_silent("c", {from = true})
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 30)
wait_for(function() return generation_of("a") == 2 end, 7)
store_down(true)
advance(7)
expect(generation_of("b") == 2, "b does not have generation 2")
expect(generation_of("c") == 2, "c does not have generation 2")
expect_all()
