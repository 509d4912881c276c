-- An entry is stopped as planned while an order is in progress and the store's
-- replies are lost. The order completes, and its key runs only once.
cluster{}
service_fault("p1", {run_time = 4})
order("a", "o", "k")
wait_for(function() return runs_of("k") == 1 end, 10)
lose_store_replies(2)
drain("a")
wait_ended("o")
expect_outcome("o", "completed")
wait_for(function() return not is_running("a") end, 60)
order("b", "again", "k")
wait_ended("again")
expect_outcome("again", "completed")
expect(runs_of("k") == 1, "the order ran again")
advance(30)
expect_all()
