#include "kingcupdrift/forwarding/internal/unread_answers.h"

#include <utility>

namespace kingcupdrift {

class UnreadAnswers::Answer : public BufferOwner {
 public:
  Answer(UnreadAnswers& answers,
         std::uint64_t number,
         RequestId request,
         std::unique_ptr<ForwardSink> sink)
      : answers_(answers),
        number_(number),
        request_(std::move(request)),
        sink_(std::move(sink)),
        account_(answers.budget_, *this) {
    sink_->SetClosedCallback({});
    sink_->SetDrainedCallback({});
    sink_->SetSentCallback([this] { Remove(); });
    account_.Open();
  }

  const RequestId& request() const override { return request_; }
  ByteCount GetUnsentBytes() const override { return sink_->GetUnsentBytes(); }
  ByteCount GetUndeliveredBytes() const override {
    return sink_->GetUndeliveredBytes();
  }
  // The engine has sent everything.
  ByteCount GetUnreadBytes() const override { return ByteCount(0); }
  void SetEnginePaused(bool) override {}
  void Yield() override {
    sink_->Discard();
    Remove();
  }

 private:
  // Destroys this object.
  void Remove() {
    UnreadAnswers& answers = answers_;
    const std::uint64_t number = number_;
    answers.answers_.erase(number);
  }

  UnreadAnswers& answers_;
  std::uint64_t number_;
  RequestId request_;
  std::unique_ptr<ForwardSink> sink_;
  BufferAccount account_;
};

UnreadAnswers::UnreadAnswers(BufferBudget& budget) : budget_(budget) {}
UnreadAnswers::~UnreadAnswers() = default;

void UnreadAnswers::Keep(const RequestId& request,
                         std::unique_ptr<ForwardSink> sink) {
  if (sink->GetUnsentBytes() == ByteCount(0)) {
    return;
  }
  const std::uint64_t number = next_++;
  answers_[number] =
      std::make_unique<Answer>(*this, number, request, std::move(sink));
}

}  // namespace kingcupdrift
