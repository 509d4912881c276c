-- The owner of reservations is frozen until they have expired, then thawed. The
-- memory is freed and stays free.
cluster{}
submit("a", "big", {prompt = 1000000, output = 50, limit = 200})
wait_for(function()
  return memory_of("e1") + memory_of("e2") + memory_of("e3") + memory_of("e4")
    > 1000000
end, 30)
freeze("a")
advance(300)
expect_no_memory_held()
thaw("a")
wait_ended("big")
advance(60)
expect_no_memory_held()
expect_all()
