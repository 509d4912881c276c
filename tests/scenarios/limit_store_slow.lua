-- Every store call takes longer than its timeout. An order still ends within
-- its time limit.
cluster{}
store_slow(8)
order("a", "o", "k", {limit = 4})
submit("b", "q", {limit = 20})
wait_ended("o", 5)
wait_ended("q", 21)
expect_outcome("q", "completed")
store_slow(0)
advance(60)
expect_all()
