-- A caller reads slowly: its stream is held back and continues once the caller
-- reads again.
cluster{}
submit("a", "q", {output = 100})
wait_tokens("q", 5)
set_unsent("q", 100000000)
advance(10)
set_unsent("q", 0)
caller_drained("q")
wait_ended("q")
expect_outcome("q", "completed")
advance(30)
expect_all()
