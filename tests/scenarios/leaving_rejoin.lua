-- An entry stops as planned, restarts under the same name and gets work again.
cluster{}
drain("a")
wait_for(function() return not is_running("a") end, 60)
advance(5)
start_entry("a")
wait_for(function() return generation_of("a") == 1 end, 30)
wait_for(function() return lists("b", "a") and lists("c", "a") end, 30)
submit("a", "q")
wait_ended("q")
expect_outcome("q", "completed")
advance(30)
expect_all()
