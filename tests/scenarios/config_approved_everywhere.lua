-- An approved configuration is in force at every entry within 7 s.
cluster{}
approve("op")
wait_for(function() return approval_of("op") ~= "pending" end, 30)
expect(approval_of("op") == "approved", approval_of("op"))
advance(7)
for _, name in ipairs{"a", "b", "c"} do
  expect(generation_of(name) == 2, name .. " does not have generation 2")
end
expect_all()
