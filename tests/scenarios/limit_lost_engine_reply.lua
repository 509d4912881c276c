-- The time limit and the engines' memory, lost replies: reservations of a large
-- prompt are made and their replies are lost.
cluster{}
for n = 1, 4 do lose_engine_reply("e" .. n) end
submit("a", "big", {prompt = 1000000, output = 5, limit = 120})
wait_ended("big", 121)
advance(300)
expect_all()
