-- Configuration, operator race with lost replies of the store.
cluster{}
lose_store_replies(3)
approve("one")
approve("two")
wait_for(function()
  return approval_of("one") ~= "pending" and approval_of("two") ~= "pending"
end, 120)
advance(10)
local generation = generation_of("a")
for _, name in ipairs{"b", "c"} do
  expect(generation_of(name) == generation, name .. " differs")
end
expect_all()
