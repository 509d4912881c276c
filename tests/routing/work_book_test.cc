#include "kingcupdrift/routing/work_book.h"

#include <doctest/doctest.h>

#include "tests/fakes/manual_clock.h"

namespace kingcupdrift::fakes {
namespace {

using std::chrono::milliseconds;

const InstanceId kEntry("entry-1");
const EngineId kFirst("first");
const EngineId kHelper("helper");

WorkNote Note(const std::string& attempt) {
  WorkNote note;
  note.attempt = AttemptId(attempt);
  note.engine = kFirst;
  note.helpers = {kHelper};
  note.prompt = TokenCount(1000);
  note.output = TokenCount(100);
  note.pause_limit = milliseconds(250);
  note.part_time = milliseconds(40);
  return note;
}

TEST_CASE("work counts at the engine that writes and at those that help") {
  ManualClock clock;
  WorkBook book(clock);
  book.Apply(kEntry, Note("a"));
  CHECK(book.At(kFirst).streams == 1);
  CHECK(book.At(kFirst).context == TokenCount(1100));
  CHECK(book.At(kFirst).pause_limit == milliseconds(250));
  CHECK(book.At(kHelper).streams == 0);
  CHECK(book.At(kHelper).helping == 1);
  CHECK(book.At(kHelper).backlog == milliseconds(40));
}

TEST_CASE("a backlog shrinks as time passes and ends with the first event") {
  ManualClock clock;
  WorkBook book(clock);
  book.Apply(kEntry, Note("a"));
  book.Apply(kEntry, Note("b"));
  CHECK(book.At(kFirst).backlog == milliseconds(80));
  clock.Advance(milliseconds(10));
  CHECK(book.At(kFirst).backlog == milliseconds(70));
  WorkNote writing;
  writing.attempt = AttemptId("a");
  writing.phase = WorkPhase::kWriting;
  book.Apply(kEntry, writing);
  CHECK(book.At(kFirst).backlog == milliseconds(40));
  CHECK(book.At(kFirst).streams == 2);
  CHECK(book.At(kHelper).helping == 1);
}

TEST_CASE("ended work leaves nothing behind") {
  ManualClock clock;
  WorkBook book(clock);
  book.Apply(kEntry, Note("a"));
  WorkNote ended;
  ended.attempt = AttemptId("a");
  ended.phase = WorkPhase::kEnded;
  book.Apply(kEntry, ended);
  CHECK(book.At(kFirst).streams == 0);
  CHECK(book.At(kFirst).context == TokenCount(0));
  CHECK(book.At(kHelper).backlog == Duration::zero());
}

TEST_CASE("memory that helpers hold counts there and not at the first engine") {
  ManualClock clock;
  WorkBook book(clock);
  WorkNote note = Note("a");
  note.held = {TokenCount(600)};
  book.Apply(kEntry, note);
  CHECK(book.At(kFirst).context == TokenCount(500));
  CHECK(book.At(kHelper).context == TokenCount(600));
}

TEST_CASE("the work of an entry that is gone is forgotten") {
  ManualClock clock;
  WorkBook book(clock);
  book.Apply(kEntry, Note("a"));
  book.Apply(InstanceId("entry-2"), Note("b"));
  book.RemoveOwner(kEntry);
  CHECK(book.At(kFirst).streams == 1);
}

TEST_CASE("another entry's book becomes the same from its whole work") {
  ManualClock clock;
  WorkBook book(clock);
  book.Apply(kEntry, Note("a"));
  book.Apply(kEntry, Note("b"));
  WorkNote writing;
  writing.attempt = AttemptId("b");
  writing.phase = WorkPhase::kWriting;
  book.Apply(kEntry, writing);
  WorkBook other(clock);
  for (const WorkNote& it : book.WorkOf(kEntry)) {
    other.Apply(kEntry, it);
  }
  CHECK(other.At(kFirst).streams == 2);
  CHECK(other.At(kFirst).backlog == milliseconds(40));
}

TEST_CASE("work whose end was lost is forgotten after the longest request") {
  ManualClock clock;
  WorkBook book(clock);
  book.Apply(kEntry, Note("a"));
  clock.Advance(WorkBook::kMaxAge + milliseconds(1));
  book.Apply(kEntry, Note("b"));
  CHECK(book.At(kFirst).streams == 1);
}

}  // namespace
}  // namespace kingcupdrift::fakes
