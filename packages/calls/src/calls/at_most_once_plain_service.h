#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "calls/claim_protocol.h"
#include "calls/plain_service.h"
#include "calls/service_client.h"
#include "foundation/event.h"
#include "policy/admission.h"
#include "policy/chain_router.h"
#include "policy/retry_budget.h"

namespace qp {

/// Serves calls of plain services. Operations of idempotent classes are
/// retried on other servers; all other operations are sent under a claim.
///
/// The outcome not_run refers to the request itself: no service started its
/// call, and none will. An earlier request with the same key may have run.
class AtMostOncePlainService final : public PlainService {
 public:
  /// Minimum timeout of a try if another server is left to be tried, unless the
  /// request has less time left.
  static constexpr Duration kMinTryTimeout = std::chrono::milliseconds(250);
  /// Maximum length of an Idempotency-Key in bytes. Keeps claim keys within the
  /// length limit of table keys.
  static constexpr std::size_t kMaxKeyLength = 256;

  /// `seed` must differ between processes, since the nonces of claims are
  /// generated from it.
  AtMostOncePlainService(Clock& clock, const Blackboard& blackboard,
                         Table& table, ServiceClient& services,
                         policy::Admission& admission,
                         policy::ServiceRouter& router,
                         policy::RetryBudget& retries, EventSink& events,
                         std::uint64_t seed);

  Task<ServiceResponse> Run(ServiceRequest request) override;

  /// Number of claim writes in progress in the background. A planned stop of
  /// the daemon waits until it is 0.
  std::size_t pending_claim_writes() const {
    return this->claims.pending_writes();
  }

 private:
  /// State of a request while servers of its service are tried.
  struct Progress {
    ServiceRequest request;
    TimePoint deadline;
    std::vector<std::string> excluded;  ///< Servers already tried.
    bool may_have_run = false;
  };

  /// Empty if admitted, otherwise the refusal. Sets `idempotent` once the
  /// operation is found.
  std::optional<ServiceResponse> Admit(const ServiceRequest& request,
                                       bool& idempotent);
  Task<ServiceResponse> RunIdempotent(Progress& progress);
  Task<ServiceResponse> RunNonIdempotent(Progress& progress);
  /// Returns `refusal` if the key is free or the table cannot be read.
  /// Otherwise returns the response for the state of the key, since the caller
  /// would conclude from the refusal that no call with the key ran.
  Task<ServiceResponse> RefuseNonIdempotent(ServiceRequest request,
                                            ServiceResponse refusal);
  Task<ServiceResponse> SendClaimed(Progress& progress,
                                    std::shared_ptr<Claim> claim);
  Task<Result<ServiceReply>> CallServer(const Progress& progress,
                                        Backend server, Duration timeout);
  std::optional<Backend> ChooseServer(const Progress& progress);
  Duration TryTimeout(const Progress& progress);
  Duration Remaining(const Progress& progress) const;
  ServiceResponse MakeClaimResponse(const ClaimDecision& decision);
  ServiceResponse MakeNotRun(Error error, bool with_retry_after);
  ServiceResponse MakeUnknown(Error error);
  ServiceResponse GiveUp(const Progress& progress, Error error);

  Clock& clock;
  const Blackboard& blackboard;
  ServiceClient& services;
  policy::Admission& admission;
  policy::ServiceRouter& router;
  policy::RetryBudget& retries;
  EventSink& events;
  std::mt19937_64 random;
  ClaimProtocol claims;
};

}  // namespace qp
