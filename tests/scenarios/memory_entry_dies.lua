-- An entry dies while it holds engine memory for a prompt split over a group of
-- engines. The memory is freed.
cluster{}
submit("a", "big", {prompt = 1000000, output = 50, limit = 200})
wait_for(function()
  return memory_of("e1") + memory_of("e2") + memory_of("e3") + memory_of("e4")
    > 1000000
end, 30)
kill_entry("a")
advance(300)
expect_no_memory_held()
expect_all()
