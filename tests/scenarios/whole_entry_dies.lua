-- The whole answer, process death in mid-stream: the caller resumes elsewhere.
cluster{}
submit("a", "q", {output = 100})
wait_tokens("q", 10)
kill_entry("a")
resume("b", "rest", "q")
wait_ended("rest")
expect_outcome("rest", "completed")
expect_whole()
advance(30)
expect_all()
