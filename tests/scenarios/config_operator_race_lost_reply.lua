-- Two operators approve at the same time and the store's replies are lost. All
-- entries end with the same generation.
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
  expect(generation_of(name) == generation,
         name .. " has another generation than a")
end
expect_all()
