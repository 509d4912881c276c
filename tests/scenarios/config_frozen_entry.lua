-- Configuration, a paused entry: it wakes up behind and goes forward only.
cluster{}
freeze("c")
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 30)
advance(30)
thaw("c")
advance(7)
expect(generation_of("c") == 2, "c lacks generation 2")
expect_all()
