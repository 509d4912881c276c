-- One engine of a group that serves a split prompt dies. All engine memory is
-- freed.
cluster{}
submit("a", "big", {prompt = 1000000, output = 50, limit = 200})
wait_for(function()
  return memory_of("e1") + memory_of("e2") + memory_of("e3") + memory_of("e4")
    > 1000000
end, 30)
for _, engine in ipairs{"e4", "e3", "e2", "e1"} do
  if memory_of(engine) > 0 then
    kill_engine(engine)
    break
  end
end
wait_ended("big", 201)
advance(300)
expect_no_memory_held()
expect_all()
