-- A caller disconnects. Its request is cancelled and its engine memory freed.
cluster{}
submit("a", "q", {output = 5000, limit = 300})
wait_tokens("q", 5)
leave("q")
advance(15)
expect_no_memory_held()
expect_all()
