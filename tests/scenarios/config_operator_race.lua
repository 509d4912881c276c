-- Two operators approve at the same time: one approval succeeds, the other is
-- answered with a conflict.
cluster{}
approve("one")
approve("two")
wait_for(function()
  return approval_of("one") ~= "pending" and approval_of("two") ~= "pending"
end, 60)
local results = {[approval_of("one")] = 1}
results[approval_of("two")] = (results[approval_of("two")] or 0) + 1
expect(results.approved == 1,
       "approvals that succeeded: " .. tostring(results.approved))
expect(results.conflict == 1,
       "no conflict: " .. approval_of("one") .. ", " .. approval_of("two"))
advance(7)
expect(generation_of("a") == 2, "a does not have generation 2")
expect_all()
