-- Several large prompts arrive at the same time. None holds engine memory while
-- it waits for another, and all complete.
cluster{}
submit("a", "one", {prompt = 1000000, output = 5, limit = 300})
submit("b", "two", {prompt = 1000000, output = 5, limit = 300})
submit("c", "three", {prompt = 1000000, output = 5, limit = 300})
wait_ended("one", 301)
wait_ended("two", 301)
wait_ended("three", 301)
expect_outcome("one", "completed")
expect_outcome("two", "completed")
expect_outcome("three", "completed")
advance(120)
expect_all()
