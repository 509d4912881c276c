-- An engine dies in mid-stream. The answer continues at another engine without
-- a gap.
cluster{}
submit("a", "q", {output = 100})
wait_tokens("q", 10)
for _, engine in ipairs{"e1", "e2", "e3", "e4"} do
  if running_on(engine) > 0 then kill_engine(engine) end
end
wait_ended("q")
expect_outcome("q", "completed")
expect_whole()
advance(30)
expect_all()
