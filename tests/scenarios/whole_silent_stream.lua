-- The open streams of all engines stall for good. The answer continues over a
-- new connection.
cluster{}
submit("a", "q", {output = 100})
wait_tokens("q", 10)
for _, engine in ipairs{"e1", "e2", "e3", "e4"} do
  engine_fault(engine, {from = true, spares_new = true})
end
wait_ended("q")
expect_outcome("q", "completed")
expect_whole()
advance(30)
expect_all()
