-- An entry dies in mid-stream. The caller resumes at another entry and gets the
-- whole answer.
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
