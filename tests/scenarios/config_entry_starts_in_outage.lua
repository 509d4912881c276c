-- An entry dies and is replaced while the store is down. The new process gets
-- the configuration from its peers and never an older one.
cluster{}
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 30)
advance(7)
store_down(true)
kill_entry("a")
advance(10)
start_entry("a")
wait_for(function() return generation_of("a") == 2 end, 30)
store_down(false)
advance(30)
expect_all()
