#include "standins/engine_standin.h"

#include <algorithm>
#include <tuple>

#include "standins/layer_digest.h"

namespace qp::standins {

namespace {

constexpr std::size_t kEventPrefixBytes = 64;  // Of the prompt.
constexpr Duration kSlotPoll = std::chrono::milliseconds(200);

std::uint32_t LayersOf(const EngineOptions& options) {
  const auto found = options.models.find(options.model);
  return found == options.models.end() ? 0 : found->second;
}

http::Response FailureResponse(const StepFailure& failure) {
  return http::MakeResponse(failure.status, nlohmann::json(failure).dump());
}

/// Layer 0's input: the token of the position before, or the prompt.
Step StepAt(const StreamOrder& order, std::uint64_t position, bool rebuild) {
  Step step;
  step.request = order.request;
  step.attempt = order.attempt;
  step.position = position;
  step.activation = position == 0 ? order.prompt : order.tokens[position - 1];
  step.rebuild = rebuild;
  step.route.assign(order.route.begin() + 1, order.route.end());
  step.model = order.model;
  step.prompt = order.prompt;
  step.layers = order.route.front().layers;
  return step;
}

std::string RecordLine(const StreamOrder& order, std::uint64_t position,
                       const StepOutput& output) {
  const nlohmann::json line = {{"request", order.request},
                               {"attempt", order.attempt},
                               {"position", position},
                               {"token", output.token},
                               {"first_layer", output.layers.first},
                               {"last_layer", output.layers.last}};
  return line.dump() + "\n";
}

std::string EndLine(const StreamOrder& order, const StepResult<void>& end) {
  nlohmann::json line = {{"request", order.request},
                         {"attempt", order.attempt}};
  if (end) {
    line["finish"] = "length";
  } else {
    line.update(nlohmann::json(end.error()));
  }
  return line.dump() + "\n";
}

}  // namespace

EngineStandin::EngineStandin(asio::io_context& io, Clock& time,
                             EngineOptions settings)
    : Standin(time),
      options(std::move(settings)),
      client(io, time),
      kv(this->options.kv_requests,
         [this](const KvEntry& entry) {
           this->PublishEvent("evicted", entry.prompt);
         }),
      slot_released(io.get_executor()) {}

Task<void> EngineStandin::Serve(http::Request request,
                                http::Responder& responder) {
  const std::string path(http::PathOf(request));
  const bool get = request.method() == http::Verb::get;
  if (!get && path == "/v1/engine/streams") {
    auto order = nlohmann::json::parse(request.body()).get<StreamOrder>();
    co_await this->ServeStream(std::move(order), responder);
    co_return;
  }
  if (!get && path == "/v1/engine/step") {
    auto step = nlohmann::json::parse(request.body()).get<Step>();
    co_await this->ServeStep(std::move(step), responder);
    co_return;
  }
  http::Response response = ErrorResponse(http::Status::not_found, "not_found",
                                          "no such request: " + path);
  if (get && path == "/v1/engine/status") {
    response = JsonResponse(this->Status());
  } else if (get && path == "/v1/engine/kv") {
    response = this->ExportKv(http::QueryParameter(request, "request"));
  } else if (get && path == "/v1/engine/events") {
    response = this->Events(SinceOf(request));
  } else if (path == "/v1/engine/kv") {
    response = this->ImportKv(nlohmann::json::parse(request.body()));
  } else if (path == "/v1/engine/cancel") {
    response = this->Cancel(nlohmann::json::parse(request.body()));
  } else if (path == "/v1/engine/orders") {
    auto order = nlohmann::json::parse(request.body());
    response = co_await this->ServeOrder(std::move(order));
  }
  co_await Answer(responder, std::move(response));
}

nlohmann::json EngineStandin::Status() const {
  const Load reported =
      this->load.At(this->clock.Now() - this->switches().load_lag);
  return {{"engine", this->options.engine},
          {"model", this->options.model},
          {"first_layer", this->options.layers.first},
          {"last_layer", this->options.layers.last},
          {"kind", this->options.kind},
          {"zone", this->options.zone},
          {"running", reported.running},
          {"queued", reported.queued},
          {"slots", this->options.slots},
          {"leaving", this->switches().leaving},
          {"incarnation", this->options.incarnation},
          {"fence", this->fence}};
}

// Streams.

Task<void> EngineStandin::ServeStream(StreamOrder order,
                                      http::Responder& responder) {
  const auto checked = this->CheckStream(order);
  if (!checked) {
    auto refusal = FailureResponse(checked.error());
    co_await Answer(responder, std::move(refusal));
    co_return;
  }
  auto head = http::MakeResponse(http::Status::ok, "");
  head.set("Content-Type", "application/x-ndjson");
  const auto begun = co_await responder.BeginStream(std::move(head));
  if (!begun || !co_await this->TakeSlot(order.priority, responder)) {
    co_return;
  }
  const auto end = co_await this->Drive(order, responder);
  this->ReleaseSlot();
  const std::string line = EndLine(order, end);
  if (co_await responder.Write(line)) {
    std::ignore = co_await responder.End();
  }
}

StepResult<void> EngineStandin::CheckStream(const StreamOrder& order) {
  if (this->switches().leaving) {
    return this->Failure("leaving", "engine.streams",
                         http::Status::service_unavailable);
  }
  if (this->load.current().queued >= this->options.queue) {
    return this->Failure("overloaded", "engine.streams",
                         http::Status::service_unavailable);
  }
  const bool first = !order.route.empty() &&
                     order.route.front().engine == this->options.engine;
  if (!first || order.model != this->options.model ||
      order.route.front().layers.first != 0 ||
      !this->Holds(order.route.front().layers)) {
    return this->Failure("wrong_layers", "engine.streams");
  }
  KvEntry& entry = this->kv.Use(order.request);
  if (entry.attempt > order.attempt || entry.driven >= order.attempt) {
    return this->Failure("stale_attempt", "engine.streams");
  }
  entry.driven = order.attempt;
  return Ok();
}

Task<StepResult<void>> EngineStandin::Drive(StreamOrder& order,
                                            http::Responder& responder) {
  const TimePoint deadline =
      this->clock.Now() + std::chrono::milliseconds(order.deadline_ms);
  const std::uint64_t resume = order.tokens.size();
  // Each stage can report missing state once, and once more if it evicts the
  // request while another stage is rebuilt.
  std::size_t rebuilds_left = 2 * order.route.size();
  std::uint64_t position = resume;
  while (order.tokens.size() < order.max_tokens) {
    if (responder.disconnected()) {
      co_return this->Failure("cancelled", "engine.streams");
    }
    if (order.deadline_ms > 0 && this->clock.Now() > deadline) {
      co_return this->Failure("timeout", "engine.streams");
    }
    const bool rebuild = position < resume;
    Step step = StepAt(order, position, rebuild);
    const auto output = co_await this->RunStep(std::move(step));
    if (!output) {
      const StepFailure& failure = output.error();
      if (failure.code != "kv_missing" || position > resume ||
          failure.have >= position || rebuilds_left == 0) {
        co_return failure;
      }
      --rebuilds_left;
      position = failure.have;
      continue;
    }
    if (!rebuild) {
      if (output.value().token.empty()) {
        co_return this->Failure("wrong_layers", "engine.streams");
      }
      order.tokens.push_back(output.value().token);
      const std::string line = RecordLine(order, position, output.value());
      const auto written = co_await responder.Write(line);
      if (!written) {
        co_return this->Failure("cancelled", "engine.streams");
      }
    }
    ++position;
  }
  co_return Ok();
}

Task<bool> EngineStandin::TakeSlot(std::uint32_t priority,
                                   http::Responder& responder) {
  const std::pair<std::int64_t, std::uint64_t> place = {
      -static_cast<std::int64_t>(priority), ++this->next_ticket};
  this->waiting.insert(place);
  this->ChangeLoad(0, +1);
  bool taken = false;
  while (!taken && !responder.disconnected()) {
    taken = this->load.current().running < this->options.slots &&
            *this->waiting.begin() == place;
    if (!taken) {
      co_await this->slot_released.WaitFor(this->clock, kSlotPoll);
    }
  }
  this->waiting.erase(place);
  this->ChangeLoad(taken ? +1 : 0, -1);
  this->slot_released.NotifyAll();
  co_return taken;
}

void EngineStandin::ReleaseSlot() {
  this->ChangeLoad(-1, 0);
  this->slot_released.NotifyAll();
}

// Steps.

Task<void> EngineStandin::ServeStep(Step step, http::Responder& responder) {
  const auto output = co_await this->RunStep(std::move(step));
  auto response = output ? JsonResponse(nlohmann::json(output.value()))
                         : FailureResponse(output.error());
  co_await Answer(responder, std::move(response));
}

Task<StepResult<StepOutput>> EngineStandin::RunStep(Step step) {
  const auto before = this->CheckStep(step);
  if (!before) {
    co_return before.error();
  }
  co_await this->TakeComputingTime(step);
  // The request may have been cancelled, resumed elsewhere or evicted
  // meanwhile.
  const auto after = this->CheckStep(step);
  if (!after) {
    co_return after.error();
  }
  auto output = this->RunLayers(step);
  if (!output || step.route.empty()) {
    co_return output;
  }
  StepOutput computed = std::move(output.value());
  co_return co_await this->Forward(std::move(step), std::move(computed));
}

StepResult<void> EngineStandin::CheckStep(Step& step) {
  KvEntry* known = this->kv.Find(step.request);
  if (known == nullptr && this->switches().leaving) {
    return this->Failure("leaving", "engine.step",
                         http::Status::service_unavailable);
  }
  KvEntry& entry = this->kv.Use(step.request);
  if (step.attempt < entry.attempt) {
    return this->Failure("stale_attempt", "engine.step");
  }
  if (entry.cancelled && step.attempt <= *entry.cancelled) {
    return this->Failure("cancelled", "engine.step");
  }
  if (step.attempt > entry.attempt) {
    entry.attempt = step.attempt;
    entry.computed.reset();
  }
  entry.model = step.model.value_or(entry.model);
  entry.prompt = step.prompt.value_or(entry.prompt);
  step.layers = this->RangeOf(step);
  if (entry.model != this->options.model || !this->Holds(*step.layers)) {
    return this->Failure("wrong_layers", "engine.step");
  }
  return Ok();
}

StepResult<StepOutput> EngineStandin::RunLayers(const Step& step) {
  KvEntry& entry = this->kv.Use(step.request);
  const LayerRange range = *step.layers;
  const std::uint64_t held = entry.PositionsHeld(range.first, range.last);
  if (held < step.position) {
    StepFailure failure = this->Failure("kv_missing", "engine.step");
    failure.have = held;
    return failure;
  }
  // A step that is sent again because its answer was lost, or a rebuild of
  // state that this stage still has, must not run the layers a second time.
  const bool known =
      held > step.position && (step.rebuild || entry.computed == step.position);
  StepOutput output;
  output.layers = range;
  output.activation = known ? entry.layers[range.last][step.position]
                            : this->Compute(step, entry);
  if (range.last + 1 == LayersOf(this->options)) {
    output.token = TokenOf(output.activation);
  }
  return output;
}

std::string EngineStandin::Compute(const Step& step, KvEntry& entry) {
  std::string below = step.activation;
  for (auto layer = step.layers->first; layer <= step.layers->last; ++layer) {
    auto& digests = entry.layers[layer];
    digests.resize(step.position);
    const std::string previous = digests.empty() ? "" : digests.back();
    below = LayerDigest({entry.model, step.request, entry.prompt, layer,
                         step.position, below, previous});
    digests.push_back(below);
  }
  if (!step.rebuild) {
    entry.computed = step.position;
  }
  if (step.position == 0) {
    this->PublishEvent("stored", entry.prompt);
  }
  this->executions.push_back({step.request, step.attempt, step.position,
                              *step.layers, step.rebuild,
                              this->clock.WallNow()});
  this->OnExecution(ToJson(this->executions.back()));
  return below;
}

LayerRange EngineStandin::RangeOf(const Step& step) const {
  return step.layers.value_or(this->options.layers);
}

bool EngineStandin::Holds(const LayerRange& range) const {
  return range.first <= range.last &&
         range.first >= this->options.layers.first &&
         range.last <= this->options.layers.last;
}

Task<void> EngineStandin::TakeComputingTime(const Step& step) {
  const TimePoint now = this->clock.Now();
  TimePoint until = now;
  if (this->options.layers_per_second > 0) {
    const double layers = step.layers->last - step.layers->first + 1;
    const std::chrono::duration<double> busy(layers /
                                             this->options.layers_per_second);
    this->busy_until = std::max(this->busy_until, now) +
                       std::chrono::duration_cast<Duration>(busy);
    until = this->busy_until;
  }
  if (!step.rebuild) {
    until += this->switches().token_delay;
  }
  if (until > now) {
    co_await SleepFor(this->clock, until - now);
  }
}

Task<StepResult<StepOutput>> EngineStandin::Forward(Step step,
                                                    StepOutput output) {
  const LayerRange own = *step.layers;
  const Stage next = step.route.front();
  // Each stage waits longer than the ones behind it, so that the failure is
  // reported by the neighbour of the stage that failed.
  const Duration bound =
      this->options.step_bound * static_cast<int>(step.route.size());
  step.route.erase(step.route.begin());
  step.layers = next.layers;
  step.activation = std::move(output.activation);
  const auto response =
      co_await this->SendStep(next.address, nlohmann::json(step).dump(), bound);
  if (!response) {
    StepFailure failure =
        this->Failure(std::string(ToString(response.error().code)),
                      "engine.step", http::Status::bad_gateway);
    failure.peer = next.engine;
    co_return failure;
  }
  try {
    const auto body = nlohmann::json::parse(response.value().body());
    if (response.value().result() != http::Status::ok) {
      auto failure = body.get<StepFailure>();
      failure.status = response.value().result();
      co_return failure;
    }
    auto result = body.get<StepOutput>();
    if (result.layers.first != own.last + 1) {
      co_return this->Failure("wrong_layers", "engine.step");
    }
    result.layers.first = own.first;
    co_return result;
  } catch (const nlohmann::json::exception&) {
  }
  StepFailure failure =
      this->Failure("protocol", "engine.step", http::Status::bad_gateway);
  failure.peer = next.engine;
  co_return failure;
}

Task<Result<http::Response>> EngineStandin::SendStep(std::string address,
                                                     std::string body,
                                                     Duration bound) {
  const TimePoint start = this->clock.Now();
  auto request = http::MakeRequest(http::Verb::post, "/v1/engine/step", body);
  auto response = co_await this->client.Send(address, request, bound);
  // A kept connection may have been closed by the peer. Sending the step again
  // is safe: a stage computes each position once in an attempt.
  if (!response && this->clock.Now() - start < bound / 4) {
    response = co_await this->client.Send(address, request, bound,
                                          http::Connection::kFresh);
  }
  co_return response;
}

StepFailure EngineStandin::Failure(std::string code, std::string step,
                                   http::Status status) const {
  return {status, std::move(code), this->options.engine, std::move(step), 0};
}

// KV cache, orders and events.

http::Response EngineStandin::Cancel(const nlohmann::json& body) {
  const std::string request = body.at("request").get<std::string>();
  KvEntry* entry = this->kv.Find(request);
  if (entry != nullptr) {
    // A late cancel of an old attempt must not end a newer one.
    const std::uint32_t attempt = body.value("attempt", entry->attempt);
    entry->cancelled = std::max(entry->cancelled.value_or(attempt), attempt);
  }
  return JsonResponse({{"cancelled", entry != nullptr}});
}

http::Response EngineStandin::ExportKv(const std::string& request) {
  if (this->switches().kv_export_fails) {
    return ErrorResponse(http::Status::internal_server_error,
                         "kv_export_failed", "the export was interrupted");
  }
  const KvEntry* entry = this->kv.Find(request);
  if (entry == nullptr || entry->layers.empty()) {
    return ErrorResponse(http::Status::not_found, "kv_missing",
                         "no KV cache of request " + request);
  }
  nlohmann::json layers = nlohmann::json::array();
  for (const auto& [layer, digests] : entry->layers) {
    layers.push_back({{"layer", layer}, {"digests", digests}});
  }
  return JsonResponse({{"request", request},
                       {"model", entry->model},
                       {"prompt", entry->prompt},
                       {"layers", layers}});
}

http::Response EngineStandin::ImportKv(const nlohmann::json& body) {
  if (body.at("model") != this->options.model) {
    return ErrorResponse(http::Status::conflict, "wrong_layers",
                         "another model is loaded");
  }
  KvEntry& entry = this->kv.Use(body.at("request").get<std::string>());
  body.at("model").get_to(entry.model);
  body.at("prompt").get_to(entry.prompt);
  entry.computed.reset();
  std::size_t imported = 0;
  for (const auto& item : body.at("layers")) {
    const auto layer = item.at("layer").get<std::uint32_t>();
    if (this->Holds({layer, layer})) {
      auto digests = item.at("digests").get<std::vector<std::string>>();
      // An import that arrives late must not replace the state of an answer
      // that went on meanwhile.
      if (digests.size() >= entry.layers[layer].size()) {
        entry.layers[layer] = std::move(digests);
      }
      ++imported;
    }
  }
  return JsonResponse({{"layers", imported}});
}

Task<http::Response> EngineStandin::ServeOrder(nlohmann::json order) {
  const auto order_fence = order.at("fence").get<std::uint64_t>();
  const auto latest_start = order.at("latest_start_ms").get<WallMillis>();
  const auto model = order.at("model").get<std::string>();
  const auto range = order.get<LayerRange>();
  order["time_ms"] = this->clock.WallNow();
  order["refused"] = nullptr;
  const bool old = order_fence < this->fence;
  if (old && !this->switches().ignore_fence) {
    order["refused"] = "fence";
  } else if (this->clock.WallNow() > latest_start) {
    order["refused"] = "too_late";
  } else if (!this->options.models.contains(model) ||
             range.first > range.last ||
             range.last >= this->options.models.at(model)) {
    order["refused"] = "unknown_model";
  }
  this->orders.push_back(order);
  if (!order["refused"].is_null()) {
    co_return FailureResponse(
        this->Failure(order["refused"].get<std::string>(), "engine.orders"));
  }
  this->fence = std::max(this->fence, order_fence);
  const bool same = model == this->options.model &&
                    range.first == this->options.layers.first &&
                    range.last == this->options.layers.last;
  if (!same) {
    if (this->options.load_time > Duration{0}) {
      co_await SleepFor(this->clock, this->options.load_time);
    }
    if (order_fence < this->fence && !this->switches().ignore_fence) {
      co_return FailureResponse(this->Failure("fence", "engine.orders"));
    }
    this->options.model = model;
    this->options.layers = range;
    this->kv.Clear();
  }
  co_return JsonResponse(this->Status());
}

void EngineStandin::PublishEvent(std::string_view kind,
                                 std::string_view prompt) {
  this->events.push_back({{"sequence", this->events.size() + 1},
                          {"kind", kind},
                          {"model", this->options.model},
                          {"prefix", prompt.substr(0, kEventPrefixBytes)}});
}

http::Response EngineStandin::Events(std::size_t since) const {
  nlohmann::json newer = nlohmann::json::array();
  for (std::size_t index = since; index < this->events.size(); ++index) {
    newer.push_back(this->events[index]);
  }
  return JsonResponse({{"next", this->events.size()}, {"events", newer}});
}

void EngineStandin::ChangeLoad(int running, int queued) {
  Load changed = this->load.current();
  changed.running += running;
  changed.queued += queued;
  this->load.Set(this->clock.Now(), changed);
}

nlohmann::json EngineStandin::ToJson(const Execution& execution) {
  return {{"request", execution.request},
          {"attempt", execution.attempt},
          {"position", execution.position},
          {"first_layer", execution.layers.first},
          {"last_layer", execution.layers.last},
          {"rebuild", execution.rebuild},
          {"time_ms", execution.time}};
}

nlohmann::json EngineStandin::Record(std::size_t since) const {
  nlohmann::json items = nlohmann::json::array();
  for (std::size_t index = since; index < this->executions.size(); ++index) {
    items.push_back(ToJson(this->executions[index]));
  }
  return {{"engine", this->options.engine},
          {"executions", items},
          {"orders", this->orders}};
}

}  // namespace qp::standins
