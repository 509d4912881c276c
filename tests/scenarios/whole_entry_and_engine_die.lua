-- An entry and its engine die together in mid-stream. The caller resumes at
-- another entry, and the outcome that it gets is true.
cluster{}
submit("a", "q", {output = 100})
wait_tokens("q", 10)
for _, engine in ipairs{"e1", "e2", "e3", "e4"} do
  if running_on(engine) > 0 then kill_engine(engine) end
end
kill_entry("a")
resume("b", "rest", "q")
wait_ended("rest")
expect_outcome("rest", "completed", "failed", "unknown")
expect_whole()
advance(30)
expect_all()
