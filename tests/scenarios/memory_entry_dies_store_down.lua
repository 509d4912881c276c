-- An entry dies during a store outage while it holds engine memory for a split
-- prompt. The memory is freed.
cluster{}
submit("a", "big", {prompt = 1000000, output = 50, limit = 200})
wait_for(function()
  return memory_of("e1") + memory_of("e2") + memory_of("e3") + memory_of("e4")
    > 1000000
end, 30)
store_down(true)
kill_entry("a")
advance(300)
expect_no_memory_held()
store_down(false)
advance(30)
expect_all()
