-- No engine answers: the connections stay open and silent. Requests still end
-- within their time limits.
cluster{}
for n = 1, 4 do engine_fault("e" .. n, {to = true, from = true}) end
submit("a", "q", {limit = 10})
submit("b", "big", {prompt = 1000000, limit = 20})
wait_ended("q", 11)
wait_ended("big", 21)
expect_outcome("q", "failed", "unknown", "not_run")
for n = 1, 4 do engine_fault("e" .. n, {}) end
advance(120)
expect_all()
