#pragma once

#include <string>

#include "http/server.h"

namespace qp::testing {

/// Keeps what a handler answers.
class RecordedResponder : public http::Responder {
 public:
  Task<Result<void>> Send(http::Response sent) override {
    this->response = std::move(sent);
    ++this->answers;
    if (this->gone) {
      co_return Error{ErrorCode::kUnavailable, "http.write", "", ""};
    }
    co_return Ok();
  }
  Task<Result<void>> BeginStream(http::Response head) override {
    this->response = std::move(head);
    ++this->answers;
    co_return Ok();
  }
  Task<Result<void>> Write(std::string_view chunk) override {
    if (this->gone) {
      co_return Error{ErrorCode::kUnavailable, "http.write", "", ""};
    }
    this->streamed += chunk;
    co_return Ok();
  }
  Task<Result<void>> End() override {
    this->ended = true;
    co_return Ok();
  }
  void Abort() override { this->aborted = true; }
  bool disconnected() const override { return this->gone; }

  unsigned status() const { return this->response.result_int(); }
  std::string Header(const char* name) const {
    const auto found = this->response.find(name);
    return found == this->response.end() ? std::string()
                                         : found->value().to_string();
  }

  http::Response response;
  std::string streamed;
  int answers = 0;
  bool ended = false;
  bool aborted = false;
  bool gone = false;
};

}  // namespace qp::testing
