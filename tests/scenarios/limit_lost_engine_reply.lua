-- The engines make reservations for a large prompt, but their replies are lost.
-- The request ends within its time limit and no engine memory stays reserved.
cluster{}
for n = 1, 4 do lose_engine_reply("e" .. n) end
submit("a", "big", {prompt = 1000000, output = 5, limit = 120})
wait_ended("big", 121)
advance(300)
expect_all()
