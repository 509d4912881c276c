#include "tests/fakes/recording_sink.h"

#include <utility>

namespace kingcupdrift::fakes {

std::string CallRecord::outcome() const {
  if (endings == 0) {
    return "pending";
  }
  const Outcome outcome = problem ? problem->outcome : Outcome::kCompleted;
  return std::string(GetOutcomeName(outcome));
}

RecordingSink::RecordingSink(std::shared_ptr<CallRecord> record,
                             const Clock& clock)
    : record_(std::move(record)), clock_(clock) {
  record_->delivered_at = clock_.Now();
}

void RecordingSink::CountEnding() {
  ++record_->endings;
  record_->ended = clock_.Now();
}

void RecordingSink::Begin(const AnswerStart& start) {
  record_->start = start;
}

void RecordingSink::Write(const AnswerChunk& chunk) {
  record_->has_gap |= chunk.offset != record_->tokens;
  record_->tokens = chunk.offset + chunk.token_count;
  record_->text += chunk.text;
  if (!record_->first_chunk) {
    record_->first_chunk = clock_.Now();
  }
}

void RecordingSink::Finish(const AnswerEnd& end) {
  record_->end = end;
  CountEnding();
}

void RecordingSink::Fail(const Problem& problem) {
  record_->problem = problem;
  CountEnding();
}

void RecordingSink::Reply(const ServiceResponse& response) {
  record_->response = response;
  CountEnding();
}

}  // namespace kingcupdrift::fakes
