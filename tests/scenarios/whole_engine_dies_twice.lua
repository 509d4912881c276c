-- Two engines die one after the other in mid-stream. The answer is still whole.
cluster{}
submit("a", "q", {output = 200})
for n = 1, 2 do
  wait_tokens("q", 30 * n)
  for _, engine in ipairs{"e1", "e2", "e3", "e4"} do
    if running_on(engine) > 0 then kill_engine(engine) end
  end
end
wait_ended("q")
expect_outcome("q", "completed")
expect_whole()
advance(30)
expect_all()
