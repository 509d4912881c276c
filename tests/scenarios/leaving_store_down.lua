-- An entry is stopped as planned while the store and the platform's instance
-- list are down.
cluster{}
store_down(true)
list_down(true)
submit("a", "q", {output = 300})
wait_tokens("q", 5)
drain("a")
advance(3)
expect(not lists("b", "a"), "b still lists a")
wait_ended("q")
expect_outcome("q", "completed")
wait_for(function() return not is_running("a") end, 60)
store_down(false)
list_down(false)
advance(30)
expect_all()
