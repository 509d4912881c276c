-- All engines die. A request still ends within its time limit.
cluster{}
for n = 1, 4 do kill_engine("e" .. n) end
submit("a", "q", {limit = 10})
wait_ended("q", 11)
expect_outcome("q", "failed", "not_run")
for n = 1, 4 do revive_engine("e" .. n) end
advance(30)
submit("a", "later")
wait_ended("later")
expect_outcome("later", "completed")
advance(30)
expect_all()
