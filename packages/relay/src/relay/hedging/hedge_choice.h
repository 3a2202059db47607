#pragma once

#include <random>
#include <span>

#include "relay/hedging/hedge_policy.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// Places of all listed servers and how many of them are in use, by the load of
/// this process, the reports of the others and the servers' own reports. A
/// server that is suspect, paused or at its limit on requests counts as full. A
/// server with a queue counts as full and not as more, so that one stalled
/// server does not end the hedging of requests that it holds.
ServiceRoom MeasureRoom(std::span<const ServerPtr> servers, TimePoint now);

/// Chooses the server for the second try of a request that `first` is working
/// on: one in another zone than `first` if there is one, otherwise any other.
/// Servers that are suspect, paused, excluded or limited in their requests, or
/// that would have no free place left, are never chosen. Null if none remains.
ServerPtr ChooseHedgeServer(std::span<const ServerPtr> servers,
                            const ChoiceQuery& query, const Server& first,
                            TimePoint now, std::mt19937_64& random);

}  // namespace qp::relay
