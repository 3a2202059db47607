#pragma once

#include "foundation/clock.h"
#include "storage/vm_list.h"

namespace qp::http {
class Client;
}  // namespace qp::http

namespace qp {

/// Client of the platform's VM list over HTTP.
class HttpVmList : public VmList {
 public:
  /// Limit on the time from sending a request to its complete response.
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  /// `address` is the service's "IP:port".
  HttpVmList(http::Client& client, std::string address);

  Task<Result<std::vector<Vm>>> Fetch() override;

 private:
  http::Client& client;
  std::string address;
};

}  // namespace qp
