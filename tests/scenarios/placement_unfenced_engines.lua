-- The holder of the placement lease is frozen until the lease has expired, and
-- the engines ignore the fencing number. Every engine ends with the approved
-- version.
cluster{fencing = false}
advance(15)
for _, name in ipairs{"a", "b"} do
  freeze(name)
  approve("op-" .. name)
  wait_for(function() return approval_of("op-" .. name) == "approved" end, 30)
  advance(40)
  thaw(name)
  advance(40)
end
for n = 1, 4 do
  local count, version = orders_of("e" .. n)
  expect(version == "v3", "e" .. n .. " has version " .. version)
end
expect_all()
