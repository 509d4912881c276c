-- The links to the engines become slow and fast again, so that frames arrive
-- late. The answers are still whole.
cluster{}
for n = 1, 6 do submit("a", "q" .. n, {output = 60}) end
for n = 1, 20 do
  engine_fault("e" .. (n % 4 + 1), {delay = (n % 3) * 0.1})
  advance(0.2)
end
for n = 1, 4 do engine_fault("e" .. n, {}) end
for n = 1, 6 do
  wait_ended("q" .. n)
  expect_outcome("q" .. n, "completed")
end
expect_whole()
advance(30)
expect_all()
