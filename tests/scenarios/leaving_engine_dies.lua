-- An engine dies during the planned stop of an entry. The request continues at
-- another engine.
cluster{}
submit("a", "q", {output = 300})
wait_tokens("q", 5)
drain("a")
for _, engine in ipairs{"e1", "e2", "e3", "e4"} do
  if running_on(engine) > 0 then kill_engine(engine) end
end
wait_ended("q")
expect_outcome("q", "completed")
wait_for(function() return not is_running("a") end, 60)
advance(30)
expect_all()
