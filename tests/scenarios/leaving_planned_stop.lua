-- A planned stop interrupts no request, and a draining entry accepts no new
-- work.
cluster{}
submit("a", "q", {output = 500})
order("a", "o", "k")
wait_tokens("q", 5)
drain("a")
advance(3)
expect(not lists("b", "a"), "b still lists a")
expect(not lists("c", "a"), "c still lists a")
submit("a", "new")
wait_ended("new")
expect_outcome("new", "not_run")
wait_ended("q")
expect_outcome("q", "completed")
expect_outcome("o", "completed")
wait_for(function() return not is_running("a") end, 60)
advance(30)
expect_all()
