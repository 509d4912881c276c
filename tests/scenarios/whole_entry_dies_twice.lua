-- An entry dies in mid-stream, and so does the entry at which the caller
-- resumed. The answer is still whole.
cluster{}
submit("a", "q", {output = 200})
wait_tokens("q", 10)
kill_entry("a")
resume("b", "more", "q")
wait_tokens("more", 50)
kill_entry("b")
resume("c", "rest", "more")
wait_ended("rest")
expect_outcome("rest", "completed")
expect_whole()
advance(30)
expect_all()
