-- The holder of the placement lease is frozen until the lease has expired, and
-- another entry takes over. Every engine ends with the approved version.
cluster{fencing = true}
advance(15)
freeze("a")
approve("op")
wait_for(function() return approval_of("op") == "approved" end, 30)
advance(40)
thaw("a")
advance(40)
for n = 1, 4 do
  local count, version = orders_of("e" .. n)
  expect(version == "v2", "e" .. n .. " has version " .. version)
end
expect_all()
