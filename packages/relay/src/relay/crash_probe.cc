#include "relay/crash_probe.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "foundation/hash.h"
#include "http/endpoint.h"
#include "relay/log_text.h"
#include "relay/request_fingerprint.h"

namespace qp::relay {

namespace {

constexpr std::size_t kMaxLoggedRequests = 32;

std::uint64_t HashOf(const ServerRecord& engine) {
  return Hash64(engine.id + "@" + std::to_string(engine.incarnation));
}

}  // namespace

struct CrashProbe::Probe {
  Probe(asio::io_context& io, TimerQueue& timers)
      : socket(io), timeout(timers) {}

  ServerRecord engine;
  TimePoint broken_at{};
  std::vector<BrokenRequest> requests;
  asio::ip::tcp::socket socket;
  ScopedTimer timeout;
};

CrashProbe::CrashProbe(asio::io_context& context, TimerQueue& timer_queue,
                       EventSink& sink, PromptQuarantine& prompts)
    : io(context), timers(timer_queue), events(sink), quarantine(prompts) {}

CrashProbe::~CrashProbe() = default;

void CrashProbe::ReportBroken(const ServerPtr& engine,
                              std::vector<std::string> keys,
                              TimePoint sent_at) {
  const std::uint64_t key = HashOf(engine->record);
  auto& probe = this->probes[key];
  if (probe != nullptr) {
    probe->requests.push_back({std::move(keys), sent_at});
    return;
  }
  const auto endpoint = http::ParseEndpoint(engine->record.address);
  if (!endpoint) {
    this->probes.erase(key);
    return;  // A request cannot have been sent to such an address.
  }
  probe = std::make_shared<Probe>(this->io, this->timers);
  probe->engine = engine->record;
  probe->broken_at = this->timers.Now();
  probe->requests.push_back({std::move(keys), sent_at});
  probe->timeout.Start(probe->broken_at + kTimeout, [this, key] {
    this->Finish(key, asio::error::timed_out);
  });
  // The probe can end before the connection does, but not before this object.
  probe->socket.async_connect(
      asio::ip::tcp::endpoint(endpoint.value().address(),
                              endpoint.value().port()),
      [this, key, weak = std::weak_ptr<Probe>(probe)](
          const boost::system::error_code& result) {
        if (!weak.expired()) {
          this->Finish(key, result);
        }
      });
}

bool CrashProbe::IsProbing(std::span<const std::string> keys) const {
  const auto shares_key = [keys](const BrokenRequest& request) {
    return std::find_first_of(request.keys.begin(), request.keys.end(),
                              keys.begin(), keys.end()) != request.keys.end();
  };
  return std::any_of(this->probes.begin(), this->probes.end(),
                     [&shares_key](const auto& item) {
                       const auto& requests = item.second->requests;
                       return std::any_of(requests.begin(), requests.end(),
                                          shares_key);
                     });
}

void CrashProbe::Finish(std::uint64_t engine,
                        const boost::system::error_code& result) {
  const auto found = this->probes.find(engine);
  if (found == this->probes.end()) {
    return;
  }
  const std::shared_ptr<Probe> probe = std::move(found->second);
  this->probes.erase(found);
  const bool crashed = result == asio::error::connection_refused;
  std::vector<std::string> fingerprints;
  for (const auto& request : probe->requests) {
    std::copy_if(request.keys.begin(), request.keys.end(),
                 std::back_inserter(fingerprints), IsRequestFingerprint);
  }
  std::vector<std::string> parts = probe->requests.front().keys;
  std::erase_if(parts, IsRequestFingerprint);
  this->events.Record(
      EventId::kCrashProbed,
      {{"server", probe->engine.id},
       {"crashed", crashed ? "true" : "false"},
       {"detail", result ? result.message() : ""},
       {"waiting", std::to_string(probe->requests.size())},
       {"parts", FormatParts(parts)},
       {"fingerprints", FormatParts(fingerprints, kMaxLoggedRequests)}});
  if (crashed) {
    for (const auto& request : probe->requests) {
      this->quarantine.RecordCrash(engine, request.keys, request.sent_at,
                                   probe->broken_at);
    }
    this->quarantine.CommitCrashes();
  }
  for (const auto& callback : std::exchange(this->callbacks, {})) {
    callback();
  }
}

void CrashProbe::CallAtNextResult(std::function<void()> callback) {
  this->callbacks.push_back(std::move(callback));
}

}  // namespace qp::relay
