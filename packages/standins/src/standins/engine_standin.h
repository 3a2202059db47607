#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foundation/wait.h"
#include "http/client.h"
#include "standins/engine_messages.h"
#include "standins/kv_cache.h"
#include "standins/load_history.h"
#include "standins/standin.h"

namespace qp::standins {

struct EngineOptions {
  std::string engine;  ///< Unique name.
  std::string kind;    ///< Of its accelerator.
  std::string zone;
  std::map<std::string, std::uint32_t> models;  ///< Layers of each model.
  std::string model;                            ///< Loaded at the start.
  LayerRange layers;
  std::uint32_t slots = 16;        ///< Streams that run at once.
  std::uint32_t queue = 64;        ///< Streams that may wait for a slot.
  std::size_t kv_requests = 1024;  ///< Requests whose KV cache fits.
  double layers_per_second = 0;    ///< Computing rate; 0: unlimited.
  Duration load_time{0};           ///< To load other weights.
  Duration step_bound = std::chrono::seconds(1);  ///< For one stage's step.
  std::uint64_t incarnation = 0;
};

/// Model engine that holds a range of layers. A layer's output is a digest, so
/// that every answer can be computed independently and shows whether each
/// layer ran exactly once for each token and in order (see LayerDigest).
///
/// The first stage of a route drives the positions; each stage hands its
/// activation to the next. A resumed stream whose stages lack KV state gets it
/// by rebuild steps for the positions that are missing.
class EngineStandin : public Standin {
 public:
  EngineStandin(asio::io_context& io, Clock& clock, EngineOptions options);

 protected:
  Task<void> Serve(http::Request request, http::Responder& responder) override;
  nlohmann::json Record(std::size_t since) const override;

 private:
  /// One execution of a range of layers for one position.
  struct Execution {
    std::string request;
    std::uint32_t attempt = 0;
    std::uint64_t position = 0;
    LayerRange layers;
    bool rebuild = false;
    WallMillis time = 0;
  };

  static nlohmann::json ToJson(const Execution& execution);

  nlohmann::json Status() const;
  Task<void> ServeStream(StreamOrder order, http::Responder& responder);
  Task<void> ServeStep(Step step, http::Responder& responder);
  Task<http::Response> ServeOrder(nlohmann::json order);
  http::Response Cancel(const nlohmann::json& body);
  http::Response ExportKv(const std::string& request);
  http::Response ImportKv(const nlohmann::json& body);
  http::Response Events(std::size_t since) const;

  StepResult<void> CheckStream(const StreamOrder& order);
  Task<StepResult<void>> Drive(StreamOrder& order, http::Responder& responder);
  Task<bool> TakeSlot(std::uint32_t priority, http::Responder& responder);
  void ReleaseSlot();

  Task<StepResult<StepOutput>> RunStep(Step step);
  StepResult<void> CheckStep(Step& step);
  StepResult<StepOutput> RunLayers(const Step& step);
  std::string Compute(const Step& step, KvEntry& entry);
  LayerRange RangeOf(const Step& step) const;
  bool Holds(const LayerRange& range) const;
  Task<void> TakeComputingTime(const Step& step);
  Task<StepResult<StepOutput>> Forward(Step step, StepOutput output);
  Task<Result<http::Response>> SendStep(std::string address, std::string body,
                                        Duration bound);
  StepFailure Failure(std::string code, std::string step,
                      http::Status status = http::Status::conflict) const;
  void ChangeLoad(int running, int queued);
  void PublishEvent(std::string_view kind, std::string_view prompt);

  EngineOptions options;
  http::Client client;
  KvCache kv;
  LoadHistory load;
  Signal slot_released;
  /// Streams without a slot, the next one first: negated priority, ticket.
  std::set<std::pair<std::int64_t, std::uint64_t>> waiting;
  std::uint64_t next_ticket = 0;
  TimePoint busy_until{};
  std::uint64_t fence = 0;
  std::vector<Execution> executions;
  nlohmann::json orders = nlohmann::json::array();
  nlohmann::json events = nlohmann::json::array();
};

}  // namespace qp::standins
