-- Configuration, operator race: of two approvals at once one wins and the other
-- is told of the conflict.
cluster{}
approve("one")
approve("two")
wait_for(function()
  return approval_of("one") ~= "pending" and approval_of("two") ~= "pending"
end, 60)
local results = {[approval_of("one")] = 1}
results[approval_of("two")] = (results[approval_of("two")] or 0) + 1
expect(results.approved == 1, "approved: " .. tostring(results.approved))
expect(results.conflict == 1,
       approval_of("one") .. " and " .. approval_of("two"))
advance(7)
expect(generation_of("a") == 2, "not generation 2")
expect_all()
