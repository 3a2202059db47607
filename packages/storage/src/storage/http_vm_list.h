#pragma once

#include "foundation/clock.h"
#include "storage/vm_list.h"

namespace qp::http {
class Client;
}  // namespace qp::http

namespace qp {

/// The platform's VM list over HTTP.
class HttpVmList : public VmList {
 public:
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  HttpVmList(http::Client& client, std::string address);

  Task<Result<std::vector<Vm>>> Fetch() override;

 private:
  http::Client& client;
  std::string address;
};

}  // namespace qp
