-- Engine memory, two large prompts at once: neither holds memory while it waits
-- for the other, and both arrive.
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
