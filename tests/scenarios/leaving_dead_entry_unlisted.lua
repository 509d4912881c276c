-- Process death: the others stop naming a dead entry, and a frozen one that
-- wakes up is named again.
cluster{}
kill_entry("a")
freeze("b")
advance(30)
thaw("b")
advance(20)
expect(lists("c", "b"), "c did not take b back")
expect(lists("b", "c"), "b did not keep c")
expect_all()
