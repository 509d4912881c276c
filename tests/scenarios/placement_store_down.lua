-- Placement orders wait while the store is down and are sent once it is back.
cluster{}
advance(15)
store_down(true)
advance(30)
store_down(false)
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 60)
advance(40)
for n = 1, 4 do
  local count, version = orders_of("e" .. n)
  expect(version == "v2", "e" .. n .. " has version " .. version)
end
expect_all()
