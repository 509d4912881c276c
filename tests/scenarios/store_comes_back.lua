-- The store comes back after an outage. The entries must not overload it with
-- retries.
cluster{}
store_down(true)
advance(60)
local before = store_calls()
store_down(false)
advance(2)
local calls = store_calls() - before
expect(calls < 200, calls .. " calls in 2 s")
advance(30)
expect_all()
