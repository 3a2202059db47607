#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "testing/test_runtime.h"

namespace qp::testing {

/// Server on a loopback port that answers by path and keeps the requests.
class LoopbackServer : public http::Handler {
 public:
  explicit LoopbackServer(TestRuntime& used)
      : runtime(used),
        server(used.io(), used.clock(), http::ServerLimits{}, *this) {
    const auto port = this->server.Listen("127.0.0.1:0");
    REQUIRE(port);
    this->address = "127.0.0.1:" + std::to_string(port.value());
  }

  ~LoopbackServer() override {
    this->Stop();
    this->runtime.Settle();
  }

  /// Refuses new connections; open ones serve one more request.
  void Stop() { this->server.Stop(); }

  /// Answers `path` with one document; chunked and without its end if `cut`.
  void Answer(const std::string& path, http::Status status, std::string body,
              bool cut = false) {
    this->answers[path] = {status, std::move(body), cut};
  }

  Task<void> Handle(http::Request request,
                    http::Responder& responder) override {
    const std::string path(http::PathOf(request));
    this->requests.push_back(std::move(request));
    const Scripted answer = this->answers[path];
    http::Response response = http::MakeResponse(answer.status, answer.body);
    if (!answer.cut) {
      std::ignore = co_await responder.Send(std::move(response));
      co_return;
    }
    std::ignore = co_await responder.BeginStream(std::move(response));
    std::ignore = co_await responder.Write(answer.body);
    responder.Abort();
  }

  std::string address;
  std::vector<http::Request> requests;

 private:
  struct Scripted {
    http::Status status = http::Status::not_found;
    std::string body;
    bool cut = false;
  };

  TestRuntime& runtime;
  std::map<std::string, Scripted> answers;
  http::Server server;
};

}  // namespace qp::testing
