#include "kingcupdrift/net/internal/http_caller_sink.h"

#include <optional>
#include <string>
#include <utility>

#include "kingcupdrift/api/api.h"
#include "kingcupdrift/net/internal/hop_headers.h"

namespace kingcupdrift {
namespace {

HeaderList MakeAnswerHeaders(const AnswerStart& start,
                             const char* content_type) {
  HeaderList headers = {{"Content-Type", content_type},
                        {"Cache-Control", "no-store"},
                        {"X-Request-Id", start.request.value()}};
  if (!start.resume_token.empty()) {
    headers.emplace_back("Resume-Token", start.resume_token);
  }
  return headers;
}

class HttpCallerSink : public CallerSink {
 public:
  HttpCallerSink(const Clock& clock,
                 std::unique_ptr<HttpExchange> exchange,
                 AnswerForm form)
      : clock_(clock), exchange_(std::move(exchange)), form_(form) {}

  void Begin(const AnswerStart& start) override {
    formatter_.emplace(start, clock_.WallNow());
    if (form_ == AnswerForm::kNonStreamed) {
      return;
    }
    exchange_->StartChunked(200, MakeAnswerHeaders(start, "text/event-stream"));
    if (form_ == AnswerForm::kStreamed) {
      exchange_->WriteChunk(formatter_->FormatStreamStart());
    }
  }

  void Write(const AnswerChunk& chunk) override {
    if (form_ == AnswerForm::kNonStreamed) {
      text_ += chunk.text;
      return;
    }
    exchange_->WriteChunk(formatter_->FormatStreamChunk(chunk));
  }

  void Finish(const AnswerEnd& end) override {
    if (form_ != AnswerForm::kNonStreamed) {
      exchange_->WriteChunk(formatter_->FormatStreamEnd(end));
      exchange_->EndChunked();
      return;
    }
    exchange_->Respond(
        200, MakeAnswerHeaders(formatter_->start(), "application/json"),
        std::make_shared<const std::string>(
            formatter_->FormatNonStreamedAnswer(text_, end)));
  }

  void Fail(const Problem& problem) override {
    if (form_ == AnswerForm::kNonStreamed || !formatter_) {
      RespondProblem(*exchange_, problem);
      return;
    }
    exchange_->WriteChunk(FormatProblemEvent(problem));
    exchange_->EndChunked();
  }

  void Reply(const ServiceResponse& response) override {
    HeaderList headers;
    for (const auto& header : response.headers) {
      if (!IsHopHeader(header.first)) {
        headers.push_back(header);
      }
    }
    const SharedBytes body =
        response.body ? response.body : std::make_shared<const std::string>();
    exchange_->Respond(response.status, headers, body);
  }

  ByteCount GetUnsentBytes() const override {
    return exchange_->GetUnsentBytes();
  }

 private:
  const Clock& clock_;
  std::unique_ptr<HttpExchange> exchange_;
  AnswerForm form_;
  std::optional<AnswerFormatter> formatter_;
  std::string text_;
};

}  // namespace

std::unique_ptr<CallerSink> CreateHttpCallerSink(
    Entry& entry,
    const Clock& clock,
    std::unique_ptr<HttpExchange> exchange,
    AnswerForm form,
    SharedRequestId request) {
  // The entry may destroy the sink, and with it these callbacks, while they
  // run, so the ID is copied first.
  exchange->SetClosedCallback([&entry, request] {
    const RequestId id = *request;
    entry.HandleCallerDisconnect(id);
  });
  exchange->SetDrainedCallback([&entry, request = std::move(request)] {
    const RequestId id = *request;
    entry.HandleCallerWritable(id);
  });
  return std::make_unique<HttpCallerSink>(clock, std::move(exchange), form);
}

void RespondProblem(HttpExchange& exchange, const Problem& problem) {
  ProblemAnswer answer = FormatProblem(problem, exchange.target());
  exchange.Respond(answer.status, answer.headers,
                   std::make_shared<const std::string>(std::move(answer.body)));
}

}  // namespace kingcupdrift
